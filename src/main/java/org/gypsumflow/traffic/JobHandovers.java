package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.gypsumflow.command.BestEffortTimings;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.model.BestEffortJob;
import org.gypsumflow.model.BestEffortOutcome;
import org.gypsumflow.model.JobId;
import org.gypsumflow.model.MemberName;

/**
 * Jobs that callers sent to this entry while a peer owns them, or may own them. They wait for the proof that none of
 * their runs is left: the owner's reply, or, if the owner is lost, the time after which its agents have stopped its
 * tasks. Jobs that arrive before this entry knows those of its peers are held back until it does.
 *
 * <p>A handover stays pending until then, even if no caller waits for it any more, so that each request to an owner has
 * one reply. Confined to one executor.
 */
final class JobHandovers {
    /** Time for the response to reach the caller, and between two checks of the callers' deadlines. */
    private static final Duration RESPONSE_TIME = BestEffortTimings.REPORT_INTERVAL.plusMillis(30);

    /** Maximum time after the last message of a peer at which its loss is noticed. */
    private static final Duration MAX_DETECTION_TIME =
            BestEffortTimings.HEARTBEAT_TIMEOUT.plus(BestEffortTimings.CONNECTION_CHECK_INTERVAL);

    /** A job that a caller sent, with what is needed to start it later. */
    record Submission(
            BestEffortJob job,
            long submittedNanos,
            long deadlineNanos,
            Consumer<BestEffortOutcome> callback,
            CompletableFuture<Void> disconnected) {}

    /** Asks the owner of a job to abandon it. */
    @FunctionalInterface
    interface OwnerClient {
        /** Sends the request; returns false if no path leads to the owner. */
        boolean requestAbandonment(MemberName owner, JobId job);
    }

    /** Receives a handover whose former runs have all ended. */
    @FunctionalInterface
    interface CompletionListener {
        /** Called with the former owner, the time at which it was asked first, and the submissions that still wait. */
        void completed(JobId job, MemberName owner, long requestedNanos, List<Submission> submissions);
    }

    /** Completes a submission that does not wait any longer. */
    @FunctionalInterface
    interface SubmissionCompleter {
        /** Passes the outcome to the caller. */
        void complete(Submission submission, BestEffortOutcome outcome);
    }

    private static final class Handover {
        private final JobId job;
        private final Optional<MemberName> owner;
        private final long requestedNanos;
        private final List<Submission> submissions = new ArrayList<>();
        private final List<Runnable> completionActions = new ArrayList<>();
        private boolean awaitsReply;
        private long notBeforeNanos;

        private Handover(JobId job, Optional<MemberName> owner, long requestedNanos, long notBeforeNanos) {
            this.job = job;
            this.owner = owner;
            this.requestedNanos = requestedNanos;
            this.notBeforeNanos = notBeforeNanos;
        }

        private boolean isOwnedBy(MemberName peer) {
            return owner.filter(peer::equals).isPresent();
        }
    }

    private final SerialExecutor executor;
    private final TimeSource time;
    private final OwnerClient ownerClient;
    private final CompletionListener listener;
    private final SubmissionCompleter completer;
    private final Map<JobId, Handover> handovers = new HashMap<>();
    private final Map<MemberName, Long> takeOverNanosByLostPeer = new HashMap<>();

    JobHandovers(
            SerialExecutor executor,
            TimeSource time,
            OwnerClient ownerClient,
            CompletionListener listener,
            SubmissionCompleter completer) {
        this.executor = executor;
        this.time = time;
        this.ownerClient = ownerClient;
        this.listener = listener;
        this.completer = completer;
    }

    /** Lets a submission wait for the pending handover of its job; returns false if there is none. */
    boolean join(Submission submission) {
        Handover handover = handovers.get(submission.job().id());
        if (handover == null) {
            return false;
        }
        handover.submissions.add(submission);
        giveUpWhereTimeCannotSuffice(handover);
        return true;
    }

    /** Holds a job back until {@link #releaseHeldBack}, as its owner, if there is one, is not known yet. */
    void holdBack(Submission submission) {
        JobId job = submission.job().id();
        Handover handover = new Handover(job, Optional.empty(), time.nanoTime(), time.nanoTime());
        handovers.put(job, handover);
        handover.submissions.add(submission);
        giveUpWhereTimeCannotSuffice(handover);
    }

    /** Returns the jobs that are held back. */
    List<JobId> heldBackJobs() {
        return handovers.values().stream()
                .filter(handover -> handover.owner.isEmpty())
                .map(handover -> handover.job)
                .toList();
    }

    /** Returns the jobs whose owners have been asked to abandon them, and whose runs may not have ended. */
    List<JobId> jobsTakenOver() {
        return handovers.values().stream()
                .filter(handover -> handover.owner.isPresent())
                .map(handover -> handover.job)
                .toList();
    }

    /** Returns whether the handover of a job from its owner has not completed. */
    boolean isPending(JobId job) {
        return handovers.containsKey(job) && handovers.get(job).owner.isPresent();
    }

    /** Returns whether a job is held back, or its handover has not completed. */
    boolean isKnown(JobId job) {
        return handovers.containsKey(job);
    }

    /** Returns whether a submission waits for a job. */
    boolean isAwaited(JobId job) {
        return handovers.containsKey(job) && !handovers.get(job).submissions.isEmpty();
    }

    /** Removes the jobs that were held back, and returns those of their submissions that still wait. */
    List<Submission> releaseHeldBack() {
        List<Submission> released = new ArrayList<>();
        for (Handover handover : List.copyOf(handovers.values())) {
            if (handover.owner.isEmpty()) {
                giveUpWhereTimeCannotSuffice(handover);
                handovers.remove(handover.job);
                released.addAll(handover.submissions);
            }
        }
        return released;
    }

    /** Starts the handover of a job from its owner, which may have been lost before. */
    void begin(Submission submission, MemberName owner) {
        begin(submission.job().id(), owner, List.of(submission));
    }

    /**
     * Starts the handover of a job from its owner although no caller waits for it, so that whoever asks this entry for the
     * job learns when none of its runs is left; ignored if a handover of the job is pending.
     */
    void takeBack(JobId job, MemberName owner) {
        if (!handovers.containsKey(job)) {
            begin(job, owner, List.of());
        }
    }

    private void begin(JobId job, MemberName owner, List<Submission> submissions) {
        long nowNanos = time.nanoTime();
        boolean asked = ownerClient.requestAbandonment(owner, job);
        // An owner whose connection is not known here yet or any more may be running the job.
        long defaultNanos = asked ? nowNanos : nowNanos + BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toNanos();
        Handover handover = new Handover(
                job, Optional.of(owner), nowNanos, takeOverNanosByLostPeer.getOrDefault(owner, defaultNanos));
        handovers.put(job, handover);
        handover.submissions.addAll(submissions);
        handover.awaitsReply = asked;
        giveUpWhereTimeCannotSuffice(handover);
        completeIfProven(handover);
    }

    /** Records the reply of an entry that was asked to abandon a job; ignored unless it is the owner. */
    void replyReceived(MemberName from, JobId job) {
        Handover handover = handovers.get(job);
        if (handover != null && handover.isOwnedBy(from)) {
            handover.awaitsReply = false;
            completeIfProven(handover);
        }
    }

    /** Asks a peer again for the jobs that it owns, on the path that has opened: its reply tells what became of them. */
    void peerPathOpened(MemberName peer) {
        for (Handover handover : List.copyOf(handovers.values())) {
            if (handover.isOwnedBy(peer)) {
                handover.awaitsReply = ownerClient.requestAbandonment(peer, handover.job);
            }
        }
    }

    /**
     * Records that the path to a peer is lost: no reply will come on it, and if the peer has ended, its agents stop its
     * tasks.
     *
     * <p>A silence that is longer than its detection takes was a pause of this process, which proves nothing about the
     * peer. Then only the time that the detection takes is taken off.
     *
     * @param peer the peer
     * @param lastMessageNanos monotonic time of its last message
     */
    void peerPathClosed(MemberName peer, long lastMessageNanos) {
        long silenceNanos = Math.min(time.nanoTime() - lastMessageNanos, MAX_DETECTION_TIME.toNanos());
        long takeOverNanos = time.nanoTime() - silenceNanos + BestEffortTimings.TAKE_OVER_AFTER_LAST_MESSAGE.toNanos();
        takeOverNanosByLostPeer.put(peer, takeOverNanos);
        for (Handover handover : List.copyOf(handovers.values())) {
            if (handover.isOwnedBy(peer)) {
                handover.awaitsReply = false;
                handover.notBeforeNanos = takeOverNanos;
                giveUpWhereTimeCannotSuffice(handover);
                completeIfProven(handover);
            }
        }
    }

    /**
     * Runs an action when the pending handover of a job has completed, since only then none of its runs is left; at
     * once if there is none, if the job is only held back, or if the entry that asks is its owner, which would otherwise wait
     * for itself.
     */
    void whenCompleted(JobId job, MemberName asking, Runnable action) {
        Handover handover = handovers.get(job);
        if (handover == null || handover.owner.isEmpty() || handover.isOwnedBy(asking)) {
            action.run();
        } else {
            handover.completionActions.add(action);
        }
    }

    /** Completes the submissions that wait for a job; the handover itself stays pending. Returns whether any waited. */
    boolean giveUp(JobId job, BestEffortOutcome outcome) {
        Handover handover = handovers.get(job);
        return handover != null && giveUp(handover, submission -> true, outcome);
    }

    /** Completes all submissions that wait. */
    void giveUpAll(BestEffortOutcome outcome) {
        List.copyOf(handovers.values()).forEach(handover -> giveUp(handover, submission -> true, outcome));
    }

    /** Completes the submissions whose callers cannot get the result in time any more. */
    void tick() {
        List.copyOf(handovers.values()).forEach(this::giveUpWhereTimeCannotSuffice);
    }

    /** Returns the number of submissions that wait. */
    int submissionCount() {
        return handovers.values().stream()
                .mapToInt(handover -> handover.submissions.size())
                .sum();
    }

    private void giveUpWhereTimeCannotSuffice(Handover handover) {
        long nowNanos = time.nanoTime();
        long earliestStartNanos = nowNanos + Math.max(0, handover.notBeforeNanos - nowNanos);
        handover.submissions.removeIf(submission -> submission.disconnected().isDone());
        giveUp(
                handover,
                submission -> submission.deadlineNanos()
                                - earliestStartNanos
                                - submission.job().estimate().toNanos()
                        < RESPONSE_TIME.toNanos(),
                BestEffortOutcome.mayHaveRun(
                        "the time left does not suffice after the end of the job's runs at another host"));
    }

    private boolean giveUp(Handover handover, Predicate<Submission> which, BestEffortOutcome outcome) {
        List<Submission> given = new ArrayList<>();
        for (Iterator<Submission> remaining = handover.submissions.iterator(); remaining.hasNext(); ) {
            Submission submission = remaining.next();
            if (which.test(submission)) {
                remaining.remove();
                given.add(submission);
            }
        }
        given.forEach(submission -> completer.complete(submission, outcome));
        return !given.isEmpty();
    }

    private void completeIfProven(Handover handover) {
        if (handover.owner.isEmpty() || handover.awaitsReply || handovers.get(handover.job) != handover) {
            return;
        }
        long waitNanos = handover.notBeforeNanos - time.nanoTime();
        if (waitNanos > 0) {
            executor.schedule(Duration.ofNanos(waitNanos).plusMillis(1), () -> completeIfProven(handover));
            return;
        }
        handovers.remove(handover.job);
        handover.completionActions.forEach(Runnable::run);
        listener.completed(
                handover.job, handover.owner.get(), handover.requestedNanos, List.copyOf(handover.submissions));
    }
}
