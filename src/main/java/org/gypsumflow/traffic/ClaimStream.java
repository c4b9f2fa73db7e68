package org.gypsumflow.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.gypsumflow.command.AppendRateLimiter;
import org.gypsumflow.command.ClaimRecord;
import org.gypsumflow.command.ClaimRecord.Claimed;
import org.gypsumflow.command.ClaimRecord.Released;
import org.gypsumflow.command.ClaimTable;
import org.gypsumflow.control.SerialExecutor;
import org.gypsumflow.control.TimeSource;
import org.gypsumflow.control.TypedLogReader;
import org.gypsumflow.log.PlatformLog.AppendResult;
import org.gypsumflow.log.PlatformLog.Page;
import org.gypsumflow.log.TypedLog;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.SubmissionDigest;

/**
 * Claims submissions in one stream of the log and batches concurrent claims into one append.
 *
 * <p>An append is sent immediately if none is pending; records that arrive meanwhile go into the next one. A claim
 * takes effect only after the stream has been read up to it. Confined to one executor.
 */
final class ClaimStream {
    private static final int MAX_RECORDS_PER_APPEND = 500;
    /** Beyond this number the oldest nonces are dropped; their claims are then treated as if tasks may have started. */
    private static final int MAX_DISCARDED_NONCES = 100_000;
    /**
     * Delay before pending records are appended again, after a failed read or if the stream does not contain them yet.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private record PendingClaim(Claimed claim, CompletableFuture<ClaimResult> result) {}

    private final TypedLog<List<ClaimRecord>> log;
    private final Incarnation self;
    private final SerialExecutor executor;
    private final TimeSource time;
    private final TrafficSettings settings;
    private final AppendRateLimiter rateLimiter;
    private final ClaimTable claimTable;
    private final Map<ClaimNonce, PendingClaim> pendingClaims = new LinkedHashMap<>();
    private final Map<ClaimNonce, Released> pendingReleases = new LinkedHashMap<>();

    /**
     * Nonces of claims under which no task ran and this entry will never start one. Their records may still reach the
     * log and win there. The entry may then release such a claim and claim the submission again without running a task
     * twice; any other winning claim of its own may have started tasks, so that it only recovers the outcome.
     */
    private final Set<ClaimNonce> discardedNonces = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ClaimNonce, Boolean> eldest) {
            return size() > MAX_DISCARDED_NONCES;
        }
    });

    private boolean appendPending;

    private ClaimStream(
            TypedLog<List<ClaimRecord>> log,
            Incarnation self,
            SerialExecutor executor,
            TimeSource time,
            TrafficSettings settings,
            AppendRateLimiter rateLimiter) {
        this.log = log;
        this.self = self;
        this.executor = executor;
        this.time = time;
        this.settings = settings;
        this.rateLimiter = rateLimiter;
        this.claimTable = ClaimTable.create(settings.deduplicationWindow());
    }

    static ClaimStream create(
            TypedLog<List<ClaimRecord>> log,
            Incarnation self,
            SerialExecutor executor,
            TimeSource time,
            TrafficSettings settings,
            AppendRateLimiter rateLimiter) {
        return new ClaimStream(log, self, executor, time, settings, rateLimiter);
    }

    /** Returns whether the limit on pending claims is reached, so that further ones must be rejected. */
    boolean isFull() {
        return pendingClaims.size() >= settings.maxPendingClaimsPerStream();
    }

    /**
     * Claims a submission; the future completes on the executor and never fails.
     *
     * <p>If the claim table already has a winner, the stream is first read to its head, since the winner may have
     * released its claim.
     */
    CompletableFuture<ClaimResult> claim(Claimed claim, long deadlineNanos) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (claimTable.winningClaim(claim.submission()).isEmpty()) {
            enqueue(claim, deadlineNanos, result);
            return result;
        }
        readToHead().whenComplete((ignored, failure) -> {
            Optional<Claimed> winner = claimTable.winningClaim(claim.submission());
            if (winner.isPresent() && !isDiscarded(winner.get())) {
                result.complete(new ClaimResult.Lost(winner.get()));
                return;
            }
            winner.ifPresent(staleClaim -> release(claim.submission(), staleClaim.nonce()));
            enqueue(claim, deadlineNanos, result);
        });
        return result;
    }

    /** Releases a claim under which no task was started; this entry will never start one under it. */
    void release(SubmissionDigest submission, ClaimNonce nonce) {
        discardedNonces.add(nonce);
        pendingReleases.put(nonce, new Released(submission, nonce));
        appendIfIdle();
    }

    private void enqueue(Claimed claim, long deadlineNanos, CompletableFuture<ClaimResult> result) {
        PendingClaim pendingClaim = new PendingClaim(claim, result);
        pendingClaims.put(claim.nonce(), pendingClaim);
        executor.schedule(Duration.ofNanos(Math.max(0, deadlineNanos - time.nanoTime())), () -> abandon(pendingClaim));
        appendIfIdle();
    }

    private boolean isDiscarded(Claimed claim) {
        return claim.holder().equals(self) && discardedNonces.contains(claim.nonce());
    }

    private void abandon(PendingClaim pendingClaim) {
        if (pendingClaims.remove(pendingClaim.claim().nonce()) == null) {
            return;
        }
        pendingClaim
                .result()
                .complete(
                        new ClaimResult.Abandoned("the platform's log did not confirm the claim before the deadline"));
        release(pendingClaim.claim().submission(), pendingClaim.claim().nonce());
    }

    private void appendIfIdle() {
        if (appendPending || (pendingClaims.isEmpty() && pendingReleases.isEmpty())) {
            return;
        }
        appendPending = true;
        long delayNanos = rateLimiter.reserveDelayNanos(time.nanoTime());
        if (delayNanos == 0) {
            append();
            return;
        }
        executor.schedule(Duration.ofNanos(delayNanos), this::append);
    }

    private void append() {
        List<ClaimRecord> batch = nextBatch();
        if (batch.isEmpty()) {
            appendPending = false;
            return;
        }
        TypedLogReader.withTimeout(executor, settings.appendTimeout(), log.append(batch))
                .whenComplete((appendResult, failure) -> {
                    if (failure == null) {
                        appendCompleted(appendResult, batch);
                    } else {
                        readAndResolve(batch);
                    }
                });
    }

    private List<ClaimRecord> nextBatch() {
        List<ClaimRecord> batch = new ArrayList<>();
        for (Iterator<Released> iterator = pendingReleases.values().iterator();
                iterator.hasNext() && isBelowLimit(batch); ) {
            batch.add(iterator.next());
        }
        for (Iterator<PendingClaim> iterator = pendingClaims.values().iterator();
                iterator.hasNext() && isBelowLimit(batch); ) {
            batch.add(iterator.next().claim());
        }
        return batch;
    }

    private static boolean isBelowLimit(List<ClaimRecord> batch) {
        return batch.size() < MAX_RECORDS_PER_APPEND;
    }

    private void appendCompleted(AppendResult appendResult, List<ClaimRecord> batch) {
        if (appendResult.offset() == claimTable.nextOffset()) {
            claimTable.apply(appendResult.offset(), appendResult.loggedAtMillis(), batch);
            resolve(batch);
            return;
        }
        readAndResolve(batch);
    }

    /** Reads the stream to its head, which also finds appends whose response was lost. */
    private void readAndResolve(List<ClaimRecord> batch) {
        readToHead().whenComplete((ignored, failure) -> {
            if (failure == null) {
                resolve(batch);
            } else {
                retryAfterDelay();
            }
        });
    }

    private CompletableFuture<Void> readToHead() {
        return TypedLogReader.readToHead(
                log, executor, settings.appendTimeout(), claimTable::nextOffset, this::applyPage);
    }

    private void applyPage(Page<List<ClaimRecord>> page) {
        claimTable.skipTo(page.firstOffset());
        page.records().forEach(record -> claimTable.apply(record.offset(), record.loggedAtMillis(), record.body()));
        claimTable.skipTo(page.nextOffset());
    }

    private void resolve(List<ClaimRecord> batch) {
        boolean anyMissing = false;
        for (ClaimRecord record : batch) {
            anyMissing |= record instanceof Claimed claim ? !resolveClaim(claim) : !resolveRelease((Released) record);
        }
        if (anyMissing) {
            retryAfterDelay();
            return;
        }
        appendPending = false;
        appendIfIdle();
    }

    private boolean resolveClaim(Claimed claim) {
        PendingClaim pendingClaim = pendingClaims.get(claim.nonce());
        if (pendingClaim == null) {
            return true;
        }
        if (claimTable.isReleased(claim.nonce())) {
            pendingClaims.remove(claim.nonce());
            pendingClaim
                    .result()
                    .complete(new ClaimResult.Abandoned("the entry that forwarded the request released the claim"));
            return true;
        }
        Optional<Claimed> winner = claimTable.winningClaim(claim.submission());
        if (winner.isEmpty()) {
            return false;
        }
        pendingClaims.remove(claim.nonce());
        if (winner.get().nonce().equals(claim.nonce())) {
            pendingClaim.result().complete(new ClaimResult.Won(claim.nonce()));
            return true;
        }
        discardedNonces.add(claim.nonce());
        pendingClaim.result().complete(new ClaimResult.Lost(winner.get()));
        return true;
    }

    private boolean resolveRelease(Released release) {
        if (!claimTable.isReleased(release.nonce())) {
            return false;
        }
        pendingReleases.remove(release.nonce());
        return true;
    }

    private void retryAfterDelay() {
        executor.schedule(RETRY_DELAY, () -> {
            appendPending = false;
            appendIfIdle();
        });
    }
}
