package org.gypsumflow.model;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/** A message between an entry and an agent, or between two entries, about jobs that are not stored. */
public sealed interface DispatchMessage extends Message {
    /**
     * Introduces the sender; the first message on a connection, in both directions.
     *
     * @param member the sender
     * @param incarnation its present life
     */
    record Introduce(Member member, Incarnation incarnation) implements DispatchMessage {}

    /**
     * Shows that the sender is there, and what it last heard.
     *
     * @param sentAtNanos the sender's monotonic clock
     */
    record Heartbeat(long sentAtNanos) implements DispatchMessage {}

    /**
     * One task to run.
     *
     * @param task the task
     * @param run number of this start
     * @param specification what the worker is told to run
     * @param needs what the task needs
     * @param estimate rough running time
     * @param startWithin how long the task may wait for room; later it is given back unstarted
     * @param urgency smaller goes first: time by which the task should have started, from now
     * @param mayWait false if the task should come back unstarted when there is no room at once
     */
    record Order(
            TaskName task,
            RunNumber run,
            String specification,
            Resources needs,
            Duration estimate,
            Duration startWithin,
            Duration urgency,
            boolean mayWait) {}

    /**
     * Orders tasks.
     *
     * @param orders the tasks
     */
    record StartOrders(List<Order> orders) implements DispatchMessage {
        /** Copies the list. */
        public StartOrders {
            orders = List.copyOf(orders);
        }
    }

    /**
     * Stops tasks, whether they wait or run; a task that is not there yet never starts under that run.
     *
     * @param job job of the tasks
     * @param indexes which tasks
     */
    record StopOrders(JobId job, List<Integer> indexes) implements DispatchMessage {
        /** Copies the list. */
        public StopOrders {
            indexes = List.copyOf(indexes);
        }
    }

    /**
     * The end of one order.
     *
     * @param task the task
     * @param run number of the start
     * @param ending how it ended
     * @param ran how long it ran, zero if it did not
     */
    record Ended(TaskName task, RunNumber run, TaskEnding ending, Duration ran) {}

    /**
     * Tells an entry what became of its orders and how much room the worker has.
     *
     * @param ended orders that ended since the last message
     * @param room the worker's room, absent while no worker is there
     */
    record AgentReport(List<Ended> ended, WorkerRoom room) implements DispatchMessage {
        /** Copies the list. */
        public AgentReport {
            ended = List.copyOf(ended);
        }
    }

    /**
     * What an entry must know of a worker to place tasks there.
     *
     * @param open true if the worker takes tasks
     * @param service service of the worker, empty while there is none
     * @param zone its availability zone
     * @param capacity what it has in all
     * @param free what is left after everything that runs or waits there; may be negative
     * @param idle what no task at work uses; tasks that wait may be overtaken by more urgent ones
     * @param yours what orders of the receiver use, at work or waiting
     * @param meanRun mean running time of recent tasks
     * @param slowness running time of recent tasks against their estimates, 1.0 if they agree
     * @param overdue running time so far of tasks that should long have ended, against their estimates; 0 if few are
     * @param failing share of recent runs that failed, 0.0 to 1.0
     * @param running number of tasks that run
     */
    record WorkerRoom(
            boolean open,
            String service,
            String zone,
            Resources capacity,
            Resources free,
            Resources idle,
            Resources yours,
            Duration meanRun,
            double slowness,
            double overdue,
            double failing,
            int running) {}

    /**
     * Hands on the routes and the zones that are being emptied.
     *
     * @param table the routes
     * @param closures zones being emptied
     */
    record ShareState(RoutingTable table, Closures closures) implements DispatchMessage {}

    /**
     * Zones that are being emptied, as of a place in the operator's records.
     *
     * @param asOf rises with each record read
     * @param zones the zones
     */
    record Closures(long asOf, Set<AvailabilityZone> zones) {
        /** Nothing is known of any zone. */
        public static final Closures NONE = new Closures(-1, Set.of());

        /** Copies the set. */
        public Closures {
            zones = Set.copyOf(zones);
        }
    }

    /**
     * Tells another entry which jobs the sender has taken, so that a copy sent again does not run twice.
     *
     * @param taken jobs taken since the last message
     */
    record ShareJobs(List<JobId> taken) implements DispatchMessage {
        /** Copies the list. */
        public ShareJobs {
            taken = List.copyOf(taken);
        }
    }

    /**
     * Asks another process to stop a job, since its caller has come to the sender.
     *
     * @param job the job
     * @param cancelled true if the caller has cancelled it, false if the sender will run it anew
     */
    record GiveUpJob(JobId job, boolean cancelled) implements DispatchMessage {}

    /**
     * Confirms that a job has been told to stop wherever the sender had started it.
     *
     * @param job the job
     * @param wasUnderWay true if it was under way until now, so that its tasks may still be stopping
     */
    record JobGivenUp(JobId job, boolean wasUnderWay) implements DispatchMessage {}
}
