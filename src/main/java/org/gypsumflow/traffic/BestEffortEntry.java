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
import org.gypsumflow.command.balancing.DelegationTarget;
import org.gypsumflow.command.balancing.JobBalancer;
import org.gypsumflow.command.balancing.LoadMeter;
import org.gypsumflow.command.balancing.PeerChooser;
import org.gypsumflow.command.interference.InterferenceModel;
import org.gypsumflow.command.interference.InterferingPair;
import org.gypsumflow.command.sharing.CapacityShares;
import org.gypsumflow.command.sharing.ShareStatus;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionManager;
import org.gypsumflow.control.RoutingStateCache;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.BestEffortMessage.AbandonJob;
import org.gypsumflow.model.BestEffortMessage.AgentReport;
import org.gypsumflow.model.BestEffortMessage.AssignTasks;
import org.gypsumflow.model.BestEffortMessage.ContactsChanged;
import org.gypsumflow.model.BestEffortMessage.DelegateJob;
import org.gypsumflow.model.BestEffortMessage.DelegationEnded;
import org.gypsumflow.model.BestEffortMessage.EntryLoad;
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
import org.gypsumflow.model.Route;
import org.gypsumflow.model.RouteName;
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

    private static final int PERCENT = 100;

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
    private final JobAdmission admission;
    private final JobObserver observer;
    private final CapacityShares shares;
    private final DispatchFeatures features;
    private final DecisionCounter counter;
    private final LoadMeter loadMeter;
    private final JobDelegations delegations;
    private Optional<Balancing> balancing = Optional.empty();
    private Optional<Pause> possibleSuspension = Optional.empty();
    private CompletableFuture<Void> drained;
    private volatile int connectedAgentCount;
    private boolean stopped;

    /** What an entry that hands jobs over to its peers needs for that. */
    private record Balancing(AvailabilityZone ownZone, JobBalancer balancer, PeerChooser chooser, EntryLoads loads) {}

    private BestEffortEntry(
            SerialExecutor trafficExecutor,
            TimeSource time,
            JobPlacementPolicy placementPolicy,
            RoutingStateCache routingState,
            EventLog events,
            JobObserver observer,
            CapacityShares shares,
            DispatchFeatures features,
            DecisionCounter counter) {
        this.loadMeter = LoadMeter.create(time.nanoTime());
        this.executor =
                features.jobBalancing() ? MeasuredExecutor.of(trafficExecutor, time, loadMeter) : trafficExecutor;
        this.time = time;
        this.events = events;
        this.routingState = routingState;
        this.pauseDetector = PauseDetector.create(BestEffortTimings.ENTRY_PAUSE_THRESHOLD, time);
        this.observer = observer;
        this.shares = shares;
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
                shares,
                events,
                observer);
        this.delegations = new JobDelegations(
                executor, time, peers, jobOwners, this::takeBack, this::completeWaiting, this::accept, events, counter);
        this.announcements = new JobAnnouncements(time, peers, dispatcher, handovers, jobOwners);
        this.admission = new JobAdmission(
                executor,
                time,
                events,
                counter,
                dispatcher::activeJobCount,
                this::mayHaveBeenSentBefore,
                this::acceptInTurn,
                this::completeRejected);
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
                CapacityShares.disabled(),
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
     * @param shares decides who goes first while capacity is short
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
            CapacityShares shares,
            DispatchFeatures features,
            DecisionCounter counter) {
        return new BestEffortEntry(
                executor, time, placementPolicy, routingState, events, observer, shares, features, counter);
    }

    /**
     * Returns who shares the capacity of each service at this entry.
     *
     * @return completes with the statuses of all shares; empty if sharing is off
     */
    public CompletableFuture<List<ShareStatus>> shareStatuses() {
        CompletableFuture<List<ShareStatus>> statuses = new CompletableFuture<>();
        executor.execute(() -> statuses.complete(shares.statuses(time.nanoTime())));
        return statuses;
    }

    /**
     * Lets this entry hand jobs over to its peers, and take jobs of theirs; called before {@link #start}, and only if the
     * features of this entry have it.
     *
     * @param ownZone zone of this entry
     * @param chooser chooses the peer that runs a job
     */
    public void balanceJobs(AvailabilityZone ownZone, PeerChooser chooser) {
        JobBalancer balancer = JobBalancer.create();
        balancing = Optional.of(
                new Balancing(ownZone, balancer, chooser, new EntryLoads(time, peers, balancer, loadMeter, ownZone)));
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
            delegations.tick();
            balancing.ifPresent(part -> part.loads().tick(dispatcher.activeJobCount(), acceptsDelegations()));
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
        submissions.forEach(features.overloadControl() ? admission::add : this::accept);
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
        long arrivedNanos = time.nanoTime();
        executor.execute(() -> {
            long nowNanos = time.nanoTime();
            loadMeter.recordDelay(Duration.ofNanos(nowNanos - arrivedNanos));
            acceptUnlessDraining(
                    new Submission(job, nowNanos, nowNanos + remainingTime.toNanos(), outcome::complete, disconnected));
        });
        return outcome;
    }

    /**
     * Accepts a job as {@link #submit(BestEffortJob, Duration, CompletableFuture)} does. With overload control it waits
     * for its turn first, and is rejected if that comes too late while this entry is overloaded.
     *
     * @param job the job
     * @param arrivedNanos monotonic time at which the request arrived, in nanoseconds
     * @param remainingTime how long the caller waits from the arrival
     * @param disconnected completes if the caller closes its connection before the outcome
     * @return the outcome; may never complete once the caller has disconnected
     */
    public CompletableFuture<BestEffortOutcome> submit(
            BestEffortJob job, long arrivedNanos, Duration remainingTime, CompletableFuture<Void> disconnected) {
        if (!features.overloadControl()) {
            return submit(job, remainingTime, disconnected);
        }
        CompletableFuture<BestEffortOutcome> outcome = new CompletableFuture<>();
        admission.submit(new Submission(
                job, arrivedNanos, arrivedNanos + remainingTime.toNanos(), outcome::complete, disconnected));
        return outcome;
    }

    /**
     * Rejects a request that has waited so long that its job cannot be in time, if this entry is overloaded and the job
     * was certainly not sent before.
     *
     * @param job id of the job
     * @param route route of the job
     * @param arrivedNanos monotonic time at which the request arrived, in nanoseconds
     * @return the outcome of the job if it is rejected, otherwise empty
     */
    public CompletableFuture<Optional<BestEffortOutcome>> rejectIfTooLate(
            JobId job, RouteName route, long arrivedNanos) {
        if (!admission.isTooLate(route, arrivedNanos)) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        CompletableFuture<Optional<BestEffortOutcome>> rejection = new CompletableFuture<>();
        executor.execute(() -> {
            Optional<BestEffortOutcome> outcome = admission.rejectUnparsed(job);
            outcome.ifPresent(rejected ->
                    observer.outcomeDecided(route, rejected, Duration.ofNanos(time.nanoTime() - arrivedNanos)));
            rejection.complete(outcome);
        });
        return rejection;
    }

    /**
     * Records how late a periodic action of the traffic executor ran, which shows whether this entry keeps up.
     *
     * @param late time between its due time and its start
     */
    public void recordTimerDelay(Duration late) {
        if (features.overloadControl()) {
            admission.timerRan(late);
        }
    }

    /**
     * Returns how late this entry acts on what arrives.
     *
     * @return smallest delay of the last interval; zero without overload control
     */
    public Duration standingDelay() {
        return admission.standingDelay();
    }

    /**
     * Returns how many jobs this entry has at a time before others wait.
     *
     * @return the limit; {@link Integer#MAX_VALUE} while it keeps up
     */
    public int jobLimit() {
        return admission.limit();
    }

    private boolean mayHaveBeenSentBefore(JobId job) {
        return barrier.isUp()
                || dispatcher.isUnended(job)
                || handovers.isAwaited(job)
                || handovers.isPending(job)
                || delegations.isAwaited(job)
                || jobOwners.ownerOf(job, time.nanoTime()).isPresent();
    }

    private void acceptInTurn(Submission submission) {
        loadMeter.recordDelay(Duration.ofNanos(time.nanoTime() - submission.submittedNanos()));
        acceptUnlessDraining(submission);
    }

    private void acceptUnlessDraining(Submission submission) {
        detectPause();
        if (drained != null) {
            counter.increment("jobs_rejected", "draining");
            submission.callback().accept(BestEffortOutcome.notRun("this host is draining", RETRY_AFTER_DRAINING));
            return;
        }
        if (!delegateIfBusy(submission)) {
            accept(submission);
        }
    }

    private void completeRejected(Submission submission, BestEffortOutcome outcome) {
        observer.outcomeDecided(
                submission.job().route().name(),
                outcome,
                Duration.ofNanos(time.nanoTime() - submission.submittedNanos()));
        submission.callback().accept(outcome);
    }

    private void accept(Submission submission) {
        if (handovers.join(submission) || delegations.join(submission)) {
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

    /** Hands a new job over to a peer that has less to do; returns false if it must be accepted here. */
    private boolean delegateIfBusy(Submission submission) {
        if (balancing.isEmpty()) {
            return false;
        }
        JobId job = submission.job().id();
        long nowNanos = time.nanoTime();
        boolean isNew = !barrier.isUp()
                && !handovers.isKnown(job)
                && !delegations.isAwaited(job)
                && !dispatcher.isUnended(job)
                && jobOwners.ownerOf(job, nowNanos).isEmpty()
                && !submission.disconnected().isDone();
        if (!isNew) {
            return false;
        }
        Balancing part = balancing.get();
        Optional<DelegationTarget> target = part.chooser().choose(part.balancer(), nowNanos);
        boolean underWay = delegations.isUnderWay();
        if (target.isEmpty() || !delegations.delegate(submission, target.get(), part.ownZone())) {
            return false;
        }
        if (!underWay) {
            events.write(
                    Event.DELEGATION_STARTED,
                    target.get().peer(),
                    Math.round(loadMeter.busyShare() * PERCENT),
                    loadMeter.delay().toMillis());
        }
        return true;
    }

    /** Runs a job of a peer, unless this entry cannot know that no run of it is left elsewhere. */
    private void acceptDelegation(MemberName origin, DelegateJob request) {
        JobId job = request.job();
        Optional<MemberName> owner = jobOwners.ownerOf(job, time.nanoTime());
        Optional<Route> route = routingState.current().table().find(request.route(), request.routesVersion());
        if (!acceptsDelegations()) {
            delegations.reply(origin, DelegationEnded.refused(job, "this host takes no jobs of others now"));
        } else if (route.isEmpty()) {
            delegations.reply(origin, DelegationEnded.refused(job, "the route is not known here"));
        } else if (owner.equals(Optional.of(origin))) {
            // A request that was overtaken by the one to abandon the job is not told from a new one.
            delegations.reply(origin, DelegationEnded.refused(job, "this host has abandoned the job"));
        } else if (owner.isPresent() || handovers.isKnown(job) || delegations.isAwaited(job)) {
            delegations.reply(
                    origin,
                    new DelegationEnded(job, BestEffortOutcome.mayHaveRun("another host may run the job already")));
        } else {
            BestEffortJob accepted = new BestEffortJob(
                    job,
                    route.get(),
                    request.routesVersion(),
                    request.specification(),
                    request.taskCount(),
                    request.resourcesPerTask(),
                    request.estimate());
            Submission submission = delegations.submissionOf(origin, request, accepted);
            startJob(submission, submission.submittedNanos());
        }
    }

    private boolean acceptsDelegations() {
        return balancing.isPresent() && drained == null && !barrier.isUp() && !stopped;
    }

    /** Takes a job back that no caller here waits for any more; others ask this entry for it from now on. */
    private void takeBack(JobId job, MemberName owner) {
        peers.sendToOthers(owner, new ShareJobs(List.of(job)));
        handovers.takeBack(job, owner);
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
        startJob(submission, features.overloadControl() ? submission.submittedNanos() : time.nanoTime());
    }

    private void startJob(Submission submission, long acceptedNanos) {
        if (submission.disconnected().isDone()) {
            return;
        }
        JobId job = submission.job().id();
        announcements.jobAccepted(job);
        long nowNanos = time.nanoTime();
        dispatcher.submit(
                submission.job(),
                acceptedNanos,
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
        path.send(requestForJobs());
        handovers.peerPathOpened(peer);
    }

    private RequestJobs requestForJobs() {
        return new RequestJobs(barrier.questionNumber(), balancing.isPresent());
    }

    private void peerPathClosed(MemberName peer, long lastMessageNanos) {
        handovers.peerPathClosed(peer, lastMessageNanos);
        delegations.peerPathClosed(peer);
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
        executor.execute(() -> active.complete(dispatcher.isActive(job)
                || handovers.isAwaited(job)
                || admission.isWaiting(job)
                || delegations.isAwaited(job)));
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
     * Returns how busy this entry is.
     *
     * @return share of the recent time that the traffic thread was busy, from 0.0 to 1.0; 0 if jobs are not balanced
     */
    public double busyShare() {
        return balancing.map(part -> part.loads().busyShare()).orElse(0.0);
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
                balancing.ifPresent(part -> part.loads().peerConnected(member));
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
                balancing.ifPresent(part -> part.loads().peerDisconnected(member.name()));
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
            } else if (message instanceof EntryLoad load) {
                balancing.ifPresent(part -> part.loads().received(from, load));
            } else if (message instanceof DelegateJob request) {
                acceptDelegation(from, request);
            } else if (message instanceof DelegationEnded ended) {
                delegationEnded(from, ended);
            } else if (message instanceof PeerMessage peerMessage) {
                peerMessageReceived(from, peerMessage, peers.pathTo(from));
            }
        });
    }

    private void delegationEnded(MemberName from, DelegationEnded ended) {
        if (ended.isRefused()) {
            balancing.ifPresent(part -> part.balancer().forget(from));
        }
        delegations.ended(from, ended);
        completeDrainIfIdle();
    }

    private void peerMessageReceived(MemberName from, PeerMessage message, Optional<PeerPath> replyPath) {
        if (message instanceof AbandonJob request) {
            abandon(from, request, replyPath);
        } else if (message instanceof JobAbandoned abandoned) {
            handovers.replyReceived(from, abandoned.job());
        } else if (message instanceof ShareJobs share) {
            recordOwner(from, share.acceptedJobs());
        } else if (message instanceof RequestJobs request) {
            balancing.ifPresent(part -> part.loads().capabilityTold(from, request.exchangesLoads()));
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
            // The sender may not be connected to all agents of this entry.
            executor.execute(() -> agents.forEach((agent, connection) -> {
                if (!agent.equals(from)) {
                    connection.send(routingState.current());
                }
            }));
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
        BestEffortOutcome sentElsewhere = BestEffortOutcome.mayHaveRun("the caller sent this job to another host");
        handovers.giveUp(job, sentElsewhere);
        admission.giveUp(job, sentElsewhere);
        delegations.handOver(job, from).ifPresent(owner -> handovers.takeBack(job, owner));
        jobOwners.recordOwner(from, job, time.nanoTime());
        JobAbandoned reply = new JobAbandoned(job, wasActive);
        replyPath.ifPresent(
                path -> handovers.whenCompleted(job, from, () -> dispatcher.whenEnded(job, () -> path.send(reply))));
    }

    private boolean cancelHere(JobId job) {
        boolean waited = handovers.giveUp(job, BestEffortOutcome.ofCancelled());
        boolean waitedForTurn = admission.giveUp(job, BestEffortOutcome.ofCancelled());
        boolean delegated = delegations.giveUp(job, BestEffortOutcome.ofCancelled());
        return dispatcher.cancel(job) || waited || waitedForTurn || delegated;
    }

    private void abandonAllJobs(String reason) {
        dispatcher.abandonAll(reason);
        handovers.giveUpAll(BestEffortOutcome.mayHaveRun(reason));
        delegations.giveUpAll(BestEffortOutcome.mayHaveRun(reason));
    }

    private int activeJobCount() {
        return dispatcher.activeJobCount() + handovers.submissionCount() + delegations.submissionCount();
    }

    private void detectPause() {
        Optional<Pause> pause = pauseDetector.detect();
        if (pause.isEmpty()) {
            return;
        }
        barrier.raise(peers.reachablePeers(), time.nanoTime());
        peers.sendToAll(requestForJobs());
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
        if (drained != null && activeJobCount() == 0 && !admission.hasWaiting()) {
            drained.complete(null);
        }
    }
}
