package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.gypsumflow.command.DecisionCounter;
import org.gypsumflow.command.JobOwnerCache;
import org.gypsumflow.command.balancing.DelegationTarget;
import org.gypsumflow.control.Connection;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.AvailabilityZone;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortMessage.DelegateJob;
import org.gypsumflow.model.BestEffortMessage.DelegationEnded;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.Event;
import org.gypsumflow.model.EventLog;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;
import org.gypsumflow.traffic.JobHandovers.Submission;

/**
 * Jobs that this entry has handed over to peers while their callers wait here, and jobs of peers that run here.
 *
 * <p>The peer owns the job from then on. This entry never runs it without the peer's word that it has not taken it, or the
 * proof that a handover waits for: whenever it gives a job up without the peer's outcome, it takes the job back, and
 * whoever asks it for the job waits for that. Confined to one executor.
 */
final class JobDelegations {
    /** Time for the response to reach the caller. */
    private static final Duration RESPONSE_TIME = Duration.ofMillis(15);
    /** Time without a job handed over after which the log says that this has stopped. */
    private static final long STOPPED_AFTER_NANOS = Duration.ofSeconds(2).toNanos();

    private record Delegation(MemberName peer, List<Submission> submissions) {}

    private final SerialExecutor executor;
    private final TimeSource time;
    private final PeerPaths peers;
    private final JobOwnerCache jobOwners;
    private final BiConsumer<JobId, MemberName> takeBack;
    private final JobHandovers.SubmissionCompleter completer;
    private final Consumer<Submission> acceptHere;
    private final EventLog events;
    private final DecisionCounter counter;
    private final Map<JobId, Delegation> delegations = new HashMap<>();
    private final Map<MemberName, Map<JobId, CompletableFuture<Void>>> jobsOfPeers = new HashMap<>();
    private OptionalLong lastDelegatedNanos = OptionalLong.empty();
    private int delegatedCount;

    /**
     * Creates an entry's delegations, of which there are none yet.
     *
     * @param takeBack starts the handover of a job from the peer that it was handed over to
     * @param completer passes an outcome to a caller
     * @param acceptHere accepts a job that a peer has not taken
     */
    JobDelegations(
            SerialExecutor executor,
            TimeSource time,
            PeerPaths peers,
            JobOwnerCache jobOwners,
            BiConsumer<JobId, MemberName> takeBack,
            JobHandovers.SubmissionCompleter completer,
            Consumer<Submission> acceptHere,
            EventLog events,
            DecisionCounter counter) {
        this.executor = executor;
        this.time = time;
        this.peers = peers;
        this.jobOwners = jobOwners;
        this.takeBack = takeBack;
        this.completer = completer;
        this.acceptHere = acceptHere;
        this.events = events;
        this.counter = counter;
    }

    /** Lets a submission wait for the outcome of a job that a peer runs for this entry; returns false if none does. */
    boolean join(Submission submission) {
        Delegation delegation = delegations.get(submission.job().id());
        if (delegation == null) {
            return false;
        }
        addWaiter(delegation, submission);
        return true;
    }

    /** Hands a job over that this entry has just accepted; returns false if no direct connection leads to the peer. */
    boolean delegate(Submission submission, DelegationTarget target, AvailabilityZone ownZone) {
        Optional<Connection> connection = peers.connectionTo(target.peer());
        if (connection.isEmpty()) {
            return false;
        }
        BestEffortJob job = submission.job();
        long nowNanos = time.nanoTime();
        connection
                .get()
                .send(new DelegateJob(
                        job.id(),
                        job.route().name(),
                        job.routesVersion(),
                        job.specification(),
                        job.taskCount(),
                        job.resourcesPerTask(),
                        job.estimate(),
                        Duration.ofNanos(submission.deadlineNanos() - nowNanos),
                        Duration.ofNanos(nowNanos - submission.submittedNanos()),
                        ownZone));
        jobOwners.recordOwner(target.peer(), job.id(), nowNanos);
        Delegation delegation = new Delegation(target.peer(), new ArrayList<>());
        delegations.put(job.id(), delegation);
        addWaiter(delegation, submission);
        counter.increment("jobs_delegated", target.cause().name().toLowerCase(Locale.ROOT));
        lastDelegatedNanos = OptionalLong.of(nowNanos);
        delegatedCount++;
        return true;
    }

    /** Returns whether the log has said that jobs are handed over, and not yet that this has stopped. */
    boolean isUnderWay() {
        return lastDelegatedNanos.isPresent();
    }

    private void addWaiter(Delegation delegation, Submission submission) {
        JobId job = submission.job().id();
        delegation.submissions().add(submission);
        Duration patience =
                Duration.ofNanos(submission.deadlineNanos() - time.nanoTime()).minus(RESPONSE_TIME);
        executor.schedule(patience.isNegative() ? Duration.ZERO : patience, () -> {
            if (delegation.submissions().remove(submission)) {
                completer.complete(
                        submission, BestEffortOutcome.mayHaveRun("no outcome in time from the host that runs the job"));
                takeBackIfUnawaited(job, delegation, "deadline");
            }
        });
        submission
                .disconnected()
                .thenRun(() -> executor.execute(() -> {
                    if (delegation.submissions().remove(submission)) {
                        takeBackIfUnawaited(job, delegation, "disconnected");
                    }
                }));
    }

    private void takeBackIfUnawaited(JobId job, Delegation delegation, String result) {
        if (delegation.submissions().isEmpty() && delegations.remove(job, delegation)) {
            counter.increment("delegations_ended", result);
            takeBack.accept(job, delegation.peer());
        }
    }

    /**
     * Takes the outcome of a job from the peer that ran it, which has counted and logged it. A job that the peer has not
     * taken is accepted here.
     */
    void ended(MemberName from, DelegationEnded message) {
        JobId job = message.job();
        Delegation delegation = delegations.get(job);
        if (delegation == null || !delegation.peer().equals(from)) {
            return;
        }
        delegations.remove(job);
        BestEffortOutcome outcome = message.outcome();
        counter.increment("delegations_ended", message.isRefused() ? "refused" : describe(outcome));
        switch (outcome.verdict()) {
            // The peer asserts that nothing has run, so that a handover has nothing to wait for.
            case NOT_RUN -> jobOwners.remove(job, from, time.nanoTime());
            case COMPLETED, FAILED, MAY_HAVE_RUN -> {}
        }
        List<Submission> submissions = List.copyOf(delegation.submissions());
        delegation.submissions().clear();
        if (message.isRefused()) {
            submissions.forEach(acceptHere);
        } else {
            submissions.forEach(submission -> submission.callback().accept(outcome));
        }
    }

    private static String describe(BestEffortOutcome outcome) {
        return outcome.cancelled() ? "cancelled" : outcome.verdict().name().toLowerCase(Locale.ROOT);
    }

    /** Completes the callers that wait for a job and takes it back. Returns whether any waited. */
    boolean giveUp(JobId job, BestEffortOutcome outcome) {
        return giveUp(job, outcome, describe(outcome));
    }

    private boolean giveUp(JobId job, BestEffortOutcome outcome, String result) {
        Delegation delegation = delegations.remove(job);
        if (delegation == null) {
            return false;
        }
        counter.increment("delegations_ended", result);
        completeAll(delegation, outcome);
        takeBack.accept(job, delegation.peer());
        return true;
    }

    /** Completes the callers that wait for jobs at peers, and takes all of these back. */
    void giveUpAll(BestEffortOutcome outcome) {
        List.copyOf(delegations.keySet()).forEach(job -> giveUp(job, outcome));
    }

    /**
     * Tells the callers that wait for a job that it may have run, since an entry that asks for the job gets it.
     *
     * @return the peer from which the job must be taken back first; empty if that peer itself asks, or none has the job
     */
    Optional<MemberName> handOver(JobId job, MemberName asking) {
        Delegation delegation = delegations.remove(job);
        if (delegation == null) {
            return Optional.empty();
        }
        BestEffortOutcome outcome = BestEffortOutcome.mayHaveRun("the caller sent this job to another host");
        counter.increment("delegations_ended", describe(outcome));
        completeAll(delegation, outcome);
        return Optional.of(delegation.peer()).filter(peer -> !peer.equals(asking));
    }

    /**
     * Gives up what was handed over to a peer whose path has closed, since its outcome will not come, and ends the jobs that
     * run here for it, since their callers are told so.
     */
    void peerPathClosed(MemberName peer) {
        List<JobId> lost = delegations.entrySet().stream()
                .filter(delegation -> delegation.getValue().peer().equals(peer))
                .map(Map.Entry::getKey)
                .toList();
        if (!lost.isEmpty()) {
            events.write(Event.DELEGATION_LOST, peer, lost.size());
        }
        BestEffortOutcome outcome = BestEffortOutcome.mayHaveRun("the connection to the host that runs the job closed");
        lost.forEach(job -> giveUp(job, outcome, "peer_lost"));
        Optional.ofNullable(jobsOfPeers.remove(peer))
                .ifPresent(jobs -> jobs.values().forEach(originGone -> originGone.complete(null)));
    }

    private void completeAll(Delegation delegation, BestEffortOutcome outcome) {
        List<Submission> submissions = List.copyOf(delegation.submissions());
        delegation.submissions().clear();
        submissions.forEach(submission -> completer.complete(submission, outcome));
    }

    /** Returns what is needed to run a job of a peer here; its outcome goes to the peer. */
    Submission submissionOf(MemberName origin, DelegateJob request, BestEffortJob job) {
        CompletableFuture<Void> originGone = new CompletableFuture<>();
        jobsOfPeers.computeIfAbsent(origin, absent -> new HashMap<>()).put(job.id(), originGone);
        long nowNanos = time.nanoTime();
        return new Submission(
                job,
                nowNanos - request.age().toNanos(),
                nowNanos + request.timeLeft().toNanos(),
                outcome -> {
                    if (jobsOfPeers.getOrDefault(origin, Map.of()).remove(job.id(), originGone)) {
                        reply(origin, new DelegationEnded(job.id(), outcome));
                    }
                },
                originGone);
    }

    /** Tells a peer what became of a job that it handed over. */
    void reply(MemberName origin, DelegationEnded message) {
        peers.connectionTo(origin).ifPresent(connection -> connection.send(message));
    }

    /** Writes to the log when no job has been handed over for a while. */
    void tick() {
        if (lastDelegatedNanos.isPresent() && time.nanoTime() - lastDelegatedNanos.getAsLong() >= STOPPED_AFTER_NANOS) {
            events.write(Event.DELEGATION_STOPPED, delegatedCount);
            lastDelegatedNanos = OptionalLong.empty();
            delegatedCount = 0;
        }
    }

    /** Returns whether a caller here waits for a job that a peer runs. */
    boolean isAwaited(JobId job) {
        return delegations.containsKey(job);
    }

    /** Returns the number of callers here that wait for jobs that peers run. */
    int submissionCount() {
        return delegations.values().stream()
                .mapToInt(delegation -> delegation.submissions().size())
                .sum();
    }
}
