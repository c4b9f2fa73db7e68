package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gypsumflow.command.AgentClient;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.JobDispatcher;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.JobOwnerCache;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.command.WorkerCapacityTracker;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.JobAbandoned;
import org.gypsumflow.model.BestEffortMessage.ShareJobs;
import org.gypsumflow.model.BestEffortMessage.ShareRoutingState;
import org.gypsumflow.model.BestEffortMessage.StopTasks;
import org.gypsumflow.model.BestEffortMessage.TaskAssignment;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.Member;
import org.gypsumflow.model.MemberName;

/** The traffic of an entry: jobs in, orders out, answers back; its state belongs to the traffic lane. */
public final class BestEffortEntry implements ConnectionManager.MemberListener {
    /** Retry-After for callers of a leaving host: another host takes them at once. */
    private static final Duration RETRY_ELSEWHERE = Duration.ofSeconds(1);

    private record Caller(Consumer<BestEffortOutcome> asker, CompletableFuture<Void> abandoned) {}

    /** Time for stops to reach the agents and for the workers to end the tasks, after another entry gave a job up. */
    private static final Duration HANDOVER_PAUSE = BestEffortTimings.MAX_STOP_TIME.plusMillis(150);

    private final SerialExecutor traffic;
    private final TimeSource time;
    private final EventLog events;
    private final RoutingStateCache state;
    private final Map<MemberName, Connection> agents = new HashMap<>();
    private final Map<MemberName, Connection> peers = new HashMap<>();
    private final WorkerCapacityTracker board = WorkerCapacityTracker.create();
    private final JobOwnerCache peerJobs = JobOwnerCache.create();
    private final Map<JobId, CompletableFuture<Boolean>> handovers = new HashMap<>();
    private final List<JobId> taken = new ArrayList<>();
    private final JobDispatcher dispatcher;
    private CompletableFuture<Void> drained;
    private long tickMillis;
    private volatile int agentsInTouch;
    private boolean stopped;

    private BestEffortEntry(
            SerialExecutor traffic,
            TimeSource time,
            JobPlacementPolicy rule,
            RoutingStateCache state,
            EventLog events,
            JobObserver observer) {
        this.traffic = traffic;
        this.time = time;
        this.events = events;
        this.state = state;
        this.dispatcher = JobDispatcher.create(board, rule, new AgentClient(this::start, this::stop), events, observer);
    }

    /**
     * Creates the traffic of an entry.
     *
     * @param traffic the traffic lane
     * @param time tells the time
     * @param rule chooses workers
     * @param state routes and closures
     * @param events receives numbered events
     * @param observer hears of the answers
     * @return the traffic
     */
    public static BestEffortEntry create(
            SerialExecutor traffic,
            TimeSource time,
            JobPlacementPolicy rule,
            RoutingStateCache state,
            EventLog events,
            JobObserver observer) {
        return new BestEffortEntry(traffic, time, rule, state, events, observer);
    }

    /** Begins to watch the time. */
    public void start() {
        tickMillis = time.currentTimeMillis();
        traffic.scheduleWithFixedDelay(BestEffortTimings.REPORT_INTERVAL, () -> {
            noticePause();
            dispatcher.tick(time.nanoTime());
            shareTaken();
            finishDrain();
            return !stopped;
        });
    }

    /** Stops at once. */
    public void stop() {
        traffic.execute(() -> stopped = true);
    }

    /**
     * Takes jobs for a while longer, since callers go on using open connections, then refuses new ones and waits until
     * no job is under way.
     *
     * @param refuseAfter how long jobs are still taken
     * @return completes when there is none
     */
    public CompletableFuture<Void> drain(Duration refuseAfter) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        traffic.schedule(refuseAfter, () -> {
            drained = done;
            finishDrain();
        });
        return done;
    }

    /**
     * Gives up all jobs under way and tells their callers.
     *
     * @param reason why
     * @return completes when the answers are on their way
     */
    public CompletableFuture<Void> abandonAll(String reason) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        traffic.execute(() -> {
            dispatcher.abandonAll(reason);
            done.complete(null);
        });
        return done;
    }

    /**
     * Takes a job.
     *
     * @param job the job
     * @param timeLeft how long the caller waits
     * @param abandoned completes if the caller is gone before the answer
     * @return the final answer
     */
    public CompletableFuture<BestEffortOutcome> submit(
            BestEffortJob job, Duration timeLeft, CompletableFuture<Void> abandoned) {
        CompletableFuture<BestEffortOutcome> answer = new CompletableFuture<>();
        Caller caller = new Caller(answer::complete, abandoned);
        traffic.execute(() -> {
            noticePause();
            if (drained != null) {
                answer.complete(BestEffortOutcome.notRun("this host is leaving", RETRY_ELSEWHERE));
                return;
            }
            accept(job, timeLeft, caller);
        });
        return answer;
    }

    private void accept(BestEffortJob job, Duration timeLeft, Caller caller) {
        Optional<MemberName> holder = peerJobs.ownerOf(job.id(), time.nanoTime());
        Connection peer = holder.map(peers::get).orElse(null);
        if (peer == null) {
            begin(job, timeLeft, caller);
            return;
        }
        long asked = time.nanoTime();
        CompletableFuture<Boolean> givenUp = handovers.computeIfAbsent(job.id(), id -> new CompletableFuture<>());
        peer.send(new AbandonJob(job.id(), false));
        givenUp.completeOnTimeout(true, BestEffortTimings.HEARTBEAT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        traffic.whenDone(givenUp, (wasUnderWay, failure) -> {
            handovers.remove(job.id(), givenUp);
            peerJobs.remove(job.id());
            Duration pause = wasUnderWay ? HANDOVER_PAUSE : Duration.ZERO;
            Duration left = timeLeft.minusNanos(time.nanoTime() - asked).minus(pause);
            traffic.schedule(pause, () -> begin(job, left, caller));
        });
    }

    private void begin(BestEffortJob job, Duration timeLeft, Caller caller) {
        if (caller.abandoned().isDone()) {
            return;
        }
        taken.add(job.id());
        dispatcher.submit(job, time.nanoTime(), timeLeft, caller.asker());
        caller.abandoned().thenRun(() -> traffic.execute(() -> dispatcher.removeWaiter(job.id(), caller.asker())));
    }

    private void shareTaken() {
        if (taken.isEmpty()) {
            return;
        }
        ShareJobs share = new ShareJobs(taken);
        peers.values().forEach(link -> link.send(share));
        taken.clear();
    }

    /**
     * Cancels a job here and wherever else it is under way.
     *
     * @param job the job
     * @return true if it was under way at this entry
     */
    public CompletableFuture<Boolean> cancel(JobId job) {
        CompletableFuture<Boolean> known = new CompletableFuture<>();
        traffic.execute(() -> {
            boolean elsewhere = peerJobs.ownerOf(job, time.nanoTime()).isPresent();
            peers.values().forEach(link -> link.send(new AbandonJob(job, true)));
            known.complete(dispatcher.cancel(job) || elsewhere);
        });
        return known;
    }

    /**
     * Tells whether a job is under way at this entry.
     *
     * @param job the job
     * @return true if it is
     */
    public CompletableFuture<Boolean> isActive(JobId job) {
        CompletableFuture<Boolean> known = new CompletableFuture<>();
        traffic.execute(() -> known.complete(dispatcher.isActive(job)));
        return known;
    }

    /**
     * Tells whether any agent is in touch.
     *
     * @return true if one is
     */
    public boolean hasConnectedAgents() {
        return agentsInTouch > 0;
    }

    /** Takes the closures that are now known. */
    public void closedZonesChanged() {
        traffic.execute(() -> board.setClosedZones(state.current().closedZones().zones()));
    }

    @Override
    public void memberConnected(Member member, Connection link) {
        traffic.execute(() -> {
            if (member.role() == Member.Role.AGENT) {
                agents.put(member.name(), link);
                agentsInTouch = agents.size();
            } else {
                peers.put(member.name(), link);
            }
        });
        if (state.current().table().isKnown()) {
            link.send(state.current());
        }
    }

    @Override
    public void memberDisconnected(Member member, long heardNanos) {
        traffic.execute(() -> {
            if (agents.remove(member.name()) != null) {
                dispatcher.agentDisconnected(
                        member.name(), heardNanos + BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.toNanos());
            }
            agentsInTouch = agents.size();
            peers.remove(member.name());
        });
    }

    @Override
    public void jobMessageReceived(MemberName from, BestEffortMessage message) {
        traffic.execute(() -> {
            noticePause();
            if (message instanceof AgentReport report && agents.containsKey(from)) {
                dispatcher.agentReported(from, report, time.nanoTime());
                finishDrain();
            } else if (message instanceof AbandonJob giveUp) {
                giveUp(from, giveUp);
            } else if (message instanceof JobAbandoned givenUp) {
                Optional.ofNullable(handovers.get(givenUp.job()))
                        .ifPresent(handover -> handover.complete(givenUp.wasActive()));
            } else if (message instanceof ShareJobs share) {
                share.acceptedJobs().forEach(job -> peerJobs.recordAccepted(from, job, time.nanoTime()));
            }
        });
    }

    @Override
    public void routingStateReceived(MemberName from, ShareRoutingState shared) {
        if (state.update(shared, "host " + from)) {
            closedZonesChanged();
        }
    }

    private void start(MemberName agent, List<TaskAssignment> orders) {
        Connection link = agents.get(agent);
        if (link != null) {
            link.send(new AssignTasks(orders));
        }
    }

    private void stop(MemberName agent, JobId job, List<Integer> indexes) {
        Connection link = agents.get(agent);
        if (link != null) {
            link.send(new StopTasks(job, indexes));
        }
    }

    private void giveUp(MemberName from, AbandonJob giveUp) {
        boolean wasUnderWay = giveUp.cancelled() ? dispatcher.cancel(giveUp.job()) : dispatcher.abandon(giveUp.job());
        Connection peer = peers.get(from);
        if (peer != null) {
            peer.send(new JobAbandoned(giveUp.job(), wasUnderWay));
        }
    }

    private void noticePause() {
        long now = time.currentTimeMillis();
        long gap = now - tickMillis;
        tickMillis = now;
        if (gap > BestEffortTimings.PAUSE_THRESHOLD.toMillis() && dispatcher.activeJobCount() > 0) {
            events.write(Event.PROCESS_PAUSED, gap);
            dispatcher.abandonAll("this host stood still for " + gap + " ms");
        }
    }

    private void finishDrain() {
        if (drained != null && dispatcher.activeJobCount() == 0) {
            drained.complete(null);
        }
    }
}
