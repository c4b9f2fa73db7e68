package org.gypsumflow.model;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/** A message between an entry and an agent, or between two entries, about jobs that are not stored. */
public sealed interface BestEffortMessage extends Message {
    /**
     * Introduces the sender; the first message on a connection, in both directions.
     *
     * @param member the sender
     * @param incarnation its present life
     */
    record Introduce(Member member, Incarnation incarnation) implements BestEffortMessage {}

    /**
     * Shows that the sender is there, and what it last heard.
     *
     * @param sentAtNanos the sender's monotonic clock
     */
    record MemberHeartbeat(long sentAtNanos) implements BestEffortMessage {}

    /**
     * One task to run.
     *
     * @param task the task
     * @param runNumber number of this start
     * @param specification what the worker is told to run
     * @param resources what the task needs
     * @param estimate rough running time
     * @param maxQueueTime how long the task may wait for room; later it is given back unstarted
     * @param slack smaller goes first: time by which the task should have started, from now
     * @param mayQueue false if the task should come back unstarted when there is no room at once
     */
    record TaskAssignment(
            BestEffortTaskId task,
            RunNumber runNumber,
            String specification,
            Resources resources,
            Duration estimate,
            Duration maxQueueTime,
            Duration slack,
            boolean mayQueue) {}

    /**
     * Orders tasks.
     *
     * @param assignments the tasks
     */
    record AssignTasks(List<TaskAssignment> assignments) implements BestEffortMessage {
        /** Copies the list. */
        public AssignTasks {
            assignments = List.copyOf(assignments);
        }
    }

    /**
     * Stops tasks, whether they wait or run; a task that is not there yet never starts under that run.
     *
     * @param job job of the tasks
     * @param indexes which tasks
     */
    record StopTasks(JobId job, List<Integer> indexes) implements BestEffortMessage {
        /** Copies the list. */
        public StopTasks {
            indexes = List.copyOf(indexes);
        }
    }

    /**
     * The end of one order.
     *
     * @param task the task
     * @param runNumber number of the start
     * @param outcome how it ended
     * @param runDuration how long it ran, zero if it did not
     */
    record RunResult(BestEffortTaskId task, RunNumber runNumber, RunOutcome outcome, Duration runDuration) {}

    /**
     * Tells an entry what became of its orders and how much room the worker has.
     *
     * @param results orders that ended since the last message
     * @param workerStatus the worker's room, absent while no worker is there
     */
    record AgentReport(List<RunResult> results, WorkerStatus workerStatus) implements BestEffortMessage {
        /** Copies the list. */
        public AgentReport {
            results = List.copyOf(results);
        }
    }

    /**
     * What an entry must know of a worker to place tasks there.
     *
     * @param acceptsTasks true if the worker takes tasks
     * @param service service of the worker, empty while there is none
     * @param zone its availability zone
     * @param capacity what it has in all
     * @param uncommitted what is left after everything that runs or waits there; may be negative
     * @param idle what no task at work uses; tasks that wait may be overtaken by more urgent ones
     * @param assignedByReceiver what orders of the receiver use, at work or waiting
     * @param meanRunDuration mean running time of recent tasks
     * @param slowdown running time of recent tasks against their estimates, 1.0 if they agree
     * @param overdueSlowdown running time so far of tasks that should long have ended, against their estimates; 0 if few are
     * @param failureRate share of recent runs that failed, 0.0 to 1.0
     * @param runningTasks number of tasks that run
     */
    record WorkerStatus(
            boolean acceptsTasks,
            String service,
            String zone,
            Resources capacity,
            Resources uncommitted,
            Resources idle,
            Resources assignedByReceiver,
            Duration meanRunDuration,
            double slowdown,
            double overdueSlowdown,
            double failureRate,
            int runningTasks) {}

    /**
     * Hands on the routes and the zones that are being emptied.
     *
     * @param table the routes
     * @param closedZones zones being emptied
     */
    record ShareRoutingState(RoutingTable table, ClosedZones closedZones) implements BestEffortMessage {}

    /**
     * Zones that are being emptied, as of a place in the operator's records.
     *
     * @param asOfOffset rises with each record read
     * @param zones the zones
     */
    record ClosedZones(long asOfOffset, Set<AvailabilityZone> zones) {
        /** Nothing is known of any zone. */
        public static final ClosedZones NONE = new ClosedZones(-1, Set.of());

        /** Copies the set. */
        public ClosedZones {
            zones = Set.copyOf(zones);
        }
    }

    /**
     * Tells another entry which jobs the sender has taken, so that a copy sent again does not run twice.
     *
     * @param acceptedJobs jobs taken since the last message
     */
    record ShareJobs(List<JobId> acceptedJobs) implements BestEffortMessage {
        /** Copies the list. */
        public ShareJobs {
            acceptedJobs = List.copyOf(acceptedJobs);
        }
    }

    /**
     * Asks another process to stop a job, since its caller has come to the sender.
     *
     * @param job the job
     * @param cancelled true if the caller has cancelled it, false if the sender will run it anew
     */
    record AbandonJob(JobId job, boolean cancelled) implements BestEffortMessage {}

    /**
     * Confirms that a job has been told to stop wherever the sender had started it.
     *
     * @param job the job
     * @param wasActive true if it was under way until now, so that its tasks may still be stopping
     */
    record JobAbandoned(JobId job, boolean wasActive) implements BestEffortMessage {}
}
