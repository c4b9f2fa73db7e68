package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.AgentClient;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.DispatchFeatures;
import org.gypsumflow.command.JobDispatcher;
import org.gypsumflow.command.JobObserver;
import org.gypsumflow.command.JobOwnerCache;
import org.gypsumflow.command.JobPlacementPolicy;
import org.gypsumflow.command.WorkerCapacityTracker;
import org.gypsumflow.command.interference.InterferenceModel;
import org.gypsumflow.command.interference.InterferingPair;
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
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.JobAbandoned;
import org.gypsumflow.model.BestEffortMessage.JobList;
import org.gypsumflow.model.BestEffortMessage.PeerMessage;
import org.gypsumflow.model.BestEffortMessage.Relay;
import org.gypsumflow.model.BestEffortMessage.RequestJobs;
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
import org.gypsumflow.traffic.JobHandovers.Submission;
import org.gypsumflow.traffic.PauseDetector.Pause;
import org.gypsumflow.traffic.PeerPaths.PeerPath;

/**
 * Accepts best-effort jobs from callers, assigns their tasks to agents, and completes the jobs with their outcomes.
 *
 * <p>Its state is confined to the traffic executor, on which the public methods run their actions.
 */
public final class BestEffortEntry implements ConnectionManager.MemberListener {
    /** Retry-After for callers of a draining host: another host accepts them immediately. */
    private static final Duration RETRY_AFTER_DRAINING = Duration.ofSeconds(1);

    private final SerialExecutor executor;
    private final TimeSource time;
    private final EventLog events;
    private final RoutingStateCache routingState;
    private final Map<MemberName, Connection> agents = new HashMap<>();
    private final PeerPaths peers;
    private final JobBarrier barrier;
    private final InterferenceModel interferenceModel;
    private final WorkerCapacityTracker capacityTracker;
    private final JobOwnerCache jobOwners = JobOwnerCache.create();
    private final JobHandovers handovers;
    private final JobAnnouncements announcements;
    private final PauseDetector pauseDetector;
    private final JobDispatcher dispatcher;
    private final JobObserver observer;
    private final DispatchFeatures features;
    private final DecisionCounter counter;
    private Optional<Pause> possibleSuspension = Optional.empty();
    private CompletableFuture<Void> drained;
    private volatile int connectedAgentCount;
    private boolean stopped;

    private BestEffortEntry(
            SerialExecutor executor,
            TimeSource time,
            JobPlacementPolicy placementPolicy,
            RoutingStateCache routingState,
            EventLog events,
            JobObserver observer,
            DispatchFeatures features,
            DecisionCounter counter) {
        this.executor = executor;
        this.time = time;
        this.events = events;
        this.routingState = routingState;
        this.pauseDetector = PauseDetector.create(BestEffortTimings.ENTRY_PAUSE_THRESHOLD, time);
        this.observer = observer;
        this.features = features;
        this.counter = counter;
        this.interferenceModel = features.interferenceAvoidance()
                ? InterferenceModel.create(events, counter)
                : InterferenceModel.disabled();
        this.capacityTracker = WorkerCapacityTracker.create(interferenceModel);
        this.barrier = JobBarrier.create(time.nanoTime());
        this.handovers = new JobHandovers(
                executor, time, this::requestAbandonment, this::handoverCompleted, this::completeWaiting);
        this.peers = new PeerPaths(time, this::peerPathOpened, this::peerPathClosed, events);
        this.dispatcher = JobDispatcher.create(
                capacityTracker,
                placementPolicy,
                new AgentClient(this::assignTasks, this::stopTasks),
                events,
                observer);
        this.announcements = new JobAnnouncements(time, peers, dispatcher, handovers, jobOwners);
    }

    /**
     * Creates an entry without connections and without jobs; {@link #start} begins its periodic work.
     *
     * @param executor traffic executor, to which all state of the entry is confined
     * @param time wall clock and monotonic clock
     * @param placementPolicy chooses the agents of a job's tasks
     * @param routingState latest known routes and closed zones
     * @param events receives numbered log events
     * @param observer receives the outcome of each job
     * @return the entry
     */
    public static BestEffortEntry create(
            SerialExecutor executor,
            TimeSource time,
            JobPlacementPolicy placementPolicy,
            RoutingStateCache routingState,
            EventLog events,
            JobObserver observer) {
        return create(
                executor,
                time,
                placementPolicy,
                routingState,
                events,
                observer,
                DispatchFeatures.none(),
                DecisionCounter.none());
    }

    /**
     * Creates an entry without connections and without jobs; {@link #start} begins its periodic work.
     *
     * @param executor traffic executor, to which all state of the entry is confined
     * @param time wall clock and monotonic clock
     * @param placementPolicy chooses the agents of a job's tasks
     * @param routingState latest known routes and closed zones
     * @param events receives numbered log events
     * @param observer receives the outcome of each job
     * @param features parts that are switched on
     * @param counter counts the decisions of these parts
     * @return the entry
     */
    public static BestEffortEntry create(
            SerialExecutor executor,
            TimeSource time,
            JobPlacementPolicy placementPolicy,
            RoutingStateCache routingState,
            EventLog events,
            JobObserver observer,
            DispatchFeatures features,
            DecisionCounter counter) {
        return new BestEffortEntry(executor, time, placementPolicy, routingState, events, observer, features, counter);
    }

    /** Starts the periodic work: timeouts, detection of pauses, and messages to peers about accepted jobs. */
    public void start() {
        events.write(Event.FEATURES, features);
        pauseDetector.restart();
        executor.scheduleWithFixedDelay(BestEffortTimings.REPORT_INTERVAL, () -> {
            detectPause();
            releaseJobsIfPeersAreKnown();
            handovers.tick();
            dispatcher.tick(time.nanoTime());
            announcements.tick();
            completeDrainIfIdle();
            return !stopped;
        });
    }

    /**
     * Sets the other entries in the store. A job that arrives waits until they have told their jobs.
     *
     * @param entries names of the other entries; ignored except in the first call
     */
    public void peersDiscovered(Set<MemberName> entries) {
        executor.execute(() -> {
            barrier.peersDiscovered(entries, time.nanoTime());
            releaseJobsIfPeersAreKnown();
        });
    }

    private void releaseJobsIfPeersAreKnown() {
        if (barrier.takeDownIfDue(time.nanoTime())) {
            resolvePossibleSuspension();
            String reason = barrier.describe();
            List<JobId> jobs = handovers.heldBackJobs().stream()
                    .filter(job -> jobOwners.ownerOf(job, time.nanoTime()).isEmpty())
                    .toList();
            if (jobs.isEmpty()) {
                release(reason);
                return;
            }
            peers.sendToAll(new ShareJobs(jobs));
            executor.schedule(BestEffortTimings.REPORT_INTERVAL, () -> release(reason));
        }
    }

    /** Starts the jobs that were held back, unless a peer told meanwhile that it is about to start them as well. */
    private void release(String reason) {
        detectPause();
        if (barrier.isUp()) {
            return;
        }
        List<Submission> submissions = handovers.releaseHeldBack();
        events.write(Event.JOBS_RELEASED, reason, submissions.size());
        submissions.forEach(this::accept);
    }

    /** Stops the periodic work; active jobs are left alone. */
    public void stop() {
        executor.execute(() -> stopped = true);
    }

    /**
     * Accepts jobs for a while longer, since callers continue to use open connections, then rejects new ones and waits
     * until no job is active.
     *
     * @param rejectAfter how long jobs are still accepted
     * @return completes when new jobs are rejected and none is active
     */
    public CompletableFuture<Void> drain(Duration rejectAfter) {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        executor.schedule(rejectAfter, () -> {
            drained = completion;
            completeDrainIfIdle();
        });
        return completion;
    }

    /**
     * Abandons all active jobs and completes them with an outcome that says so.
     *
     * @param reason why, for the outcomes and the log
     * @return completes when the outcomes have been passed to the waiting callers
     */
    public CompletableFuture<Void> abandonAll(String reason) {
        CompletableFuture<Void> completion = new CompletableFuture<>();
        executor.execute(() -> {
            abandonAllJobs(reason);
            completion.complete(null);
        });
        return completion;
    }

    /**
     * Accepts a job, or rejects it while this entry is draining. If a peer owns the job, the peer abandons it first. If
     * this entry has just started or was paused, the job waits until the peers have told which jobs they own.
     *
     * @param job the job
     * @param remainingTime how long the caller waits
     * @param disconnected completes if the caller closes its connection before the outcome
     * @return the outcome; may never complete once the caller has disconnected
     */
    public CompletableFuture<BestEffortOutcome> submit(
            BestEffortJob job, Duration remainingTime, CompletableFuture<Void> disconnected) {
        CompletableFuture<BestEffortOutcome> outcome = new CompletableFuture<>();
        executor.execute(() -> {
            detectPause();
            if (drained != null) {
                counter.increment("jobs_rejected", "draining");
                outcome.complete(BestEffortOutcome.notRun("this host is draining", RETRY_AFTER_DRAINING));
                return;
            }
            long nowNanos = time.nanoTime();
            accept(new Submission(job, nowNanos, nowNanos + remainingTime.toNanos(), outcome::complete, disconnected));
        });
        return outcome;
    }

    private void accept(Submission submission) {
        if (handovers.join(submission)) {
            return;
        }
        JobId job = submission.job().id();
        Optional<MemberName> owner = jobOwners.ownerOf(job, time.nanoTime());
        if (owner.isEmpty() && barrier.isUp()) {
            handovers.holdBack(submission);
            return;
        }
        if (owner.isEmpty()) {
            startJob(submission);
            return;
        }
        peers.sendToOthers(owner.get(), new ShareJobs(List.of(job)));
        handovers.begin(submission, owner.get());
    }

    private boolean requestAbandonment(MemberName owner, JobId job) {
        Optional<PeerPath> path = peers.pathTo(owner);
        path.ifPresent(open -> open.send(new AbandonJob(job, false)));
        return path.isPresent();
    }

    private void handoverCompleted(JobId job, MemberName owner, long requestedNanos, List<Submission> submissions) {
        detectPause();
        jobOwners.remove(job, owner, requestedNanos);
        submissions.forEach(this::accept);
    }

    private void completeWaiting(Submission submission, BestEffortOutcome outcome) {
        BestEffortJob job = submission.job();
        events.write(Event.JOB_ENDED_EARLY, job.id(), job.route().name(), outcome.reason());
        observer.outcomeDecided(
                job.route().name(), outcome, Duration.ofNanos(time.nanoTime() - submission.submittedNanos()));
        submission.callback().accept(outcome);
    }

    private void startJob(Submission submission) {
        if (submission.disconnected().isDone()) {
            return;
        }
        JobId job = submission.job().id();
        announcements.jobAccepted(job);
        long nowNanos = time.nanoTime();
        dispatcher.submit(
                submission.job(),
                nowNanos,
                Duration.ofNanos(submission.deadlineNanos() - nowNanos),
                submission.callback());
        submission
                .disconnected()
                .thenRun(() -> executor.execute(() -> dispatcher.removeWaiter(job, submission.callback())));
    }

    /** Exchanges the jobs with a peer: either side may have restarted, and the peer may not know of this path. */
    private void peerPathOpened(MemberName peer, PeerPath path) {
        List<JobId> jobs = announcements.unendedJobs();
        if (!jobs.isEmpty()) {
            path.send(new ShareJobs(jobs));
        }
        path.send(new RequestJobs(barrier.questionNumber()));
        handovers.peerPathOpened(peer);
    }

    private void peerPathClosed(MemberName peer, long lastMessageNanos) {
        handovers.peerPathClosed(peer, lastMessageNanos);
        // By then messages to the peer may have taken another path.
        executor.schedule(BestEffortTimings.REPORT_INTERVAL, () -> announcements.announceJobsTakenOverBy(peer));
    }

    /**
     * Cancels a job at this entry and at all peers.
     *
     * @param job id of the job
     * @return true if the job was active or waited at this entry, or is known to be owned by a peer
     */
    public CompletableFuture<Boolean> cancel(JobId job) {
        CompletableFuture<Boolean> wasActive = new CompletableFuture<>();
        executor.execute(() -> {
            boolean ownedByPeer = jobOwners.ownerOf(job, time.nanoTime()).isPresent();
            peers.sendToAll(new AbandonJob(job, true));
            boolean wasKnownHere = cancelHere(job);
            wasActive.complete(wasKnownHere || ownedByPeer);
        });
        return wasActive;
    }

    /**
     * Returns whether a job is active at this entry, or waits here until it may start.
     *
     * @param job id of the job
     * @return true if this entry has accepted the job and it has no outcome yet
     */
    public CompletableFuture<Boolean> isActive(JobId job) {
        CompletableFuture<Boolean> active = new CompletableFuture<>();
        executor.execute(() -> active.complete(dispatcher.isActive(job) || handovers.isAwaited(job)));
        return active;
    }

    /**
     * Returns whether at least one agent is connected.
     *
     * @return true if one is connected
     */
    public boolean hasConnectedAgents() {
        return connectedAgentCount > 0;
    }

    /**
     * Returns the kinds of tasks that were seen beside each other, with their effect on each other.
     *
     * @return the pairs, in any order; none if interference avoidance is off
     */
    public CompletableFuture<List<InterferingPair>> interferingPairs() {
        CompletableFuture<List<InterferingPair>> pairs = new CompletableFuture<>();
        executor.execute(() -> pairs.complete(interferenceModel.pairs(time.nanoTime())));
        return pairs;
    }

    /**
     * Returns the number of ordered pairs of kinds that placement keeps apart.
     *
     * @return number of pairs, as of the last change
     */
    public int believedPairCount() {
        return interferenceModel.believedCount();
    }

    /** Applies the latest closed zones, whose workers get no new tasks. */
    public void closedZonesChanged() {
        executor.execute(() -> capacityTracker.setClosedZones(
                routingState.current().closedZones().zones()));
    }

    @Override
    public void memberConnected(Member member, Connection connection) {
        executor.execute(() -> {
            if (member.role() == Member.Role.AGENT) {
                agents.put(member.name(), connection);
                connectedAgentCount = agents.size();
                peers.agentConnected(member.name(), connection);
            } else {
                peers.peerConnected(member.name(), connection);
            }
        });
        if (routingState.current().table().isKnown()) {
            connection.send(routingState.current());
        }
    }

    @Override
    public void memberDisconnected(Member member, long lastMessageNanos) {
        executor.execute(() -> {
            detectPause();
            if (member.role() == Member.Role.ENTRY) {
                peers.peerDisconnected(member.name(), lastMessageNanos);
                return;
            }
            if (agents.remove(member.name()) != null) {
                connectedAgentCount = agents.size();
                dispatcher.agentDisconnected(
                        member.name(), lastMessageNanos + BestEffortTimings.REASSIGN_AFTER_LAST_MESSAGE.toNanos());
                peers.agentDisconnected(member.name());
            }
        });
    }

    /** Ignored: an entry counts its timeouts from the messages that it receives. */
    @Override
    public void contactConfirmed(MemberName member, long sentAtNanos) {}

    @Override
    public void jobMessageReceived(MemberName from, BestEffortMessage message) {
        executor.execute(() -> {
            detectPause();
            if (message instanceof AgentReport report && agents.containsKey(from)) {
                dispatcher.agentReported(from, report, time.nanoTime());
                completeDrainIfIdle();
            } else if (message instanceof ContactsChanged change) {
                peers.contactsChanged(from, change);
            } else if (message instanceof Relay relay) {
                peerMessageReceived(relay.entry(), relay.message(), peers.pathThrough(from, relay.entry()));
            } else if (message instanceof PeerMessage peerMessage) {
                peerMessageReceived(from, peerMessage, peers.pathTo(from));
            }
        });
    }

    private void peerMessageReceived(MemberName from, PeerMessage message, Optional<PeerPath> replyPath) {
        if (message instanceof AbandonJob request) {
            abandon(from, request, replyPath);
        } else if (message instanceof JobAbandoned abandoned) {
            handovers.replyReceived(from, abandoned.job());
        } else if (message instanceof ShareJobs share) {
            recordOwner(from, share.acceptedJobs());
        } else if (message instanceof RequestJobs request) {
            replyPath.ifPresent(path -> path.send(new JobList(request.number(), announcements.unendedJobs())));
        } else if (message instanceof JobList list) {
            recordOwner(from, list.jobs());
            barrier.jobsTold(from, list.number());
            releaseJobsIfPeersAreKnown();
        }
    }

    private void recordOwner(MemberName owner, List<JobId> jobs) {
        jobs.forEach(job -> jobOwners.recordOwner(owner, job, time.nanoTime()));
    }

    @Override
    public void routingStateReceived(MemberName from, ShareRoutingState received) {
        if (routingState.update(received, "host " + from)) {
            closedZonesChanged();
        }
    }

    private void assignTasks(MemberName agent, List<TaskAssignment> assignments) {
        Connection connection = agents.get(agent);
        if (connection != null) {
            connection.send(new AssignTasks(assignments));
        }
    }

    private void stopTasks(MemberName agent, JobId job, List<Integer> indexes) {
        Connection connection = agents.get(agent);
        if (connection != null) {
            connection.send(new StopTasks(job, indexes));
        }
    }

    private void abandon(MemberName from, AbandonJob request, Optional<PeerPath> replyPath) {
        JobId job = request.job();
        if (request.cancelled()) {
            cancelHere(job);
            return;
        }
        boolean wasActive = dispatcher.abandon(job);
        handovers.giveUp(job, BestEffortOutcome.mayHaveRun("the caller sent this job to another host"));
        jobOwners.recordOwner(from, job, time.nanoTime());
        JobAbandoned reply = new JobAbandoned(job, wasActive);
        replyPath.ifPresent(
                path -> handovers.whenCompleted(job, from, () -> dispatcher.whenEnded(job, () -> path.send(reply))));
    }

    private boolean cancelHere(JobId job) {
        boolean waited = handovers.giveUp(job, BestEffortOutcome.ofCancelled());
        return dispatcher.cancel(job) || waited;
    }

    private void abandonAllJobs(String reason) {
        dispatcher.abandonAll(reason);
        handovers.giveUpAll(BestEffortOutcome.mayHaveRun(reason));
    }

    private int activeJobCount() {
        return dispatcher.activeJobCount() + handovers.submissionCount();
    }

    private void detectPause() {
        Optional<Pause> pause = pauseDetector.detect();
        if (pause.isEmpty()) {
            return;
        }
        barrier.raise(peers.reachablePeers(), time.nanoTime());
        peers.sendToAll(new RequestJobs(barrier.questionNumber()));
        if (activeJobCount() == 0) {
            return;
        }
        if (pause.get().isCertain()) {
            events.write(Event.PROCESS_PAUSED, pause.get().duration().toMillis());
            abandonAllJobs("this host was paused for " + pause.get().duration().toMillis() + " ms");
        } else {
            events.write(Event.WALL_CLOCK_AHEAD, pause.get().duration().toMillis());
            possibleSuspension = pause;
            dispatcher.holdPlacements();
        }
    }

    /** Abandons the jobs that peers may have taken over, if this host was suspended: those that they told, or all. */
    private void resolvePossibleSuspension() {
        if (possibleSuspension.isEmpty()) {
            return;
        }
        long pauseMillis = possibleSuspension.get().duration().toMillis();
        possibleSuspension = Optional.empty();
        if (barrier.areAllJobsTold()) {
            dispatcher.activeJobs().stream()
                    .filter(job -> jobOwners.ownerOf(job, time.nanoTime()).isPresent())
                    .forEach(dispatcher::abandon);
        } else {
            abandonAllJobs("this host may have been suspended for " + pauseMillis + " ms, and not all entries replied");
        }
        dispatcher.releasePlacements(time.nanoTime());
    }

    private void completeDrainIfIdle() {
        if (drained != null && activeJobCount() == 0) {
            drained.complete(null);
        }
    }
}
