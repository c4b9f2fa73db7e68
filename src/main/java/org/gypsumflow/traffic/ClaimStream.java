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
 * Claims submissions in one stream of the log, many in one append.
 *
 * <p>An append is sent at once when none is under way; what arrives meanwhile goes into the next one. A claim counts
 * only after the stream was read up to it. All of it runs on one lane.
 */
final class ClaimStream {
    private static final int MOST_RECORDS_IN_APPEND = 500;
    private static final int MOST_FORSWORN_CLAIMS = 100_000;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(250);

    private record Pending(Claimed claim, CompletableFuture<ClaimResult> result) {}

    private final TypedLog<List<ClaimRecord>> log;
    private final Incarnation self;
    private final SerialExecutor lane;
    private final TimeSource time;
    private final TrafficSettings settings;
    private final AppendRateLimiter budget;
    private final ClaimTable ledger;
    private final Map<ClaimNonce, Pending> pending = new LinkedHashMap<>();
    private final Map<ClaimNonce, Released> releases = new LinkedHashMap<>();

    /** Claims of this entry under which it starts nothing any more, whether or not their records land. */
    private final Set<ClaimNonce> forsworn = Collections.newSetFromMap(new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<ClaimNonce, Boolean> eldest) {
            return size() > MOST_FORSWORN_CLAIMS;
        }
    });

    private boolean busy;

    private ClaimStream(
            TypedLog<List<ClaimRecord>> log,
            Incarnation self,
            SerialExecutor lane,
            TimeSource time,
            TrafficSettings settings,
            AppendRateLimiter budget) {
        this.log = log;
        this.self = self;
        this.lane = lane;
        this.time = time;
        this.settings = settings;
        this.budget = budget;
        this.ledger = ClaimTable.create(settings.deduplicationWindow());
    }

    static ClaimStream create(
            TypedLog<List<ClaimRecord>> log,
            Incarnation self,
            SerialExecutor lane,
            TimeSource time,
            TrafficSettings settings,
            AppendRateLimiter budget) {
        return new ClaimStream(log, self, lane, time, settings, budget);
    }

    /** Tells whether so many claims wait that another one must be refused. */
    boolean isFull() {
        return pending.size() >= settings.maxPendingClaimsPerStream();
    }

    /**
     * Claims a submission; the future completes on the lane.
     *
     * <p>Where the ledger knows a winner the stream is read on first, since the winner may have given its claim back.
     */
    CompletableFuture<ClaimResult> claim(Claimed wanted, long deadlineNanos) {
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (ledger.winningClaim(wanted.submission()).isEmpty()) {
            enqueue(wanted, deadlineNanos, result);
            return result;
        }
        readToHead().whenComplete((nothing, failure) -> {
            Optional<Claimed> winner = ledger.winningClaim(wanted.submission());
            if (winner.isPresent() && !isForsworn(winner.get())) {
                result.complete(new ClaimResult.Lost(winner.get()));
                return;
            }
            winner.ifPresent(old -> release(wanted.submission(), old.nonce()));
            enqueue(wanted, deadlineNanos, result);
        });
        return result;
    }

    /** Gives a claim back under which nothing was started and nothing ever will be. */
    void release(SubmissionDigest submission, ClaimNonce nonce) {
        forsworn.add(nonce);
        releases.put(nonce, new Released(submission, nonce));
        pump();
    }

    private void enqueue(Claimed wanted, long deadlineNanos, CompletableFuture<ClaimResult> result) {
        Pending waiting = new Pending(wanted, result);
        pending.put(wanted.nonce(), waiting);
        lane.schedule(Duration.ofNanos(Math.max(0, deadlineNanos - time.nanoTime())), () -> abandon(waiting));
        pump();
    }

    private boolean isForsworn(Claimed claim) {
        return claim.holder().equals(self) && forsworn.contains(claim.nonce());
    }

    private void abandon(Pending claim) {
        if (pending.remove(claim.claim().nonce()) == null) {
            return;
        }
        claim.result().complete(new ClaimResult.Abandoned("the platform's log did not confirm the claim in time"));
        release(claim.claim().submission(), claim.claim().nonce());
    }

    private void pump() {
        if (busy || (pending.isEmpty() && releases.isEmpty())) {
            return;
        }
        busy = true;
        long delayNanos = budget.reserveDelayNanos(time.nanoTime());
        if (delayNanos == 0) {
            append();
            return;
        }
        lane.schedule(Duration.ofNanos(delayNanos), this::append);
    }

    private void append() {
        List<ClaimRecord> batch = nextBatch();
        if (batch.isEmpty()) {
            busy = false;
            return;
        }
        TypedLogReader.withTimeout(lane, settings.appendTimeout(), log.append(batch))
                .whenComplete((appended, failure) -> {
                    if (failure == null) {
                        appendedAt(appended, batch);
                    } else {
                        readAgain(batch);
                    }
                });
    }

    private List<ClaimRecord> nextBatch() {
        List<ClaimRecord> batch = new ArrayList<>();
        for (Iterator<Released> each = releases.values().iterator(); each.hasNext() && hasRoom(batch); ) {
            batch.add(each.next());
        }
        for (Iterator<Pending> each = pending.values().iterator(); each.hasNext() && hasRoom(batch); ) {
            batch.add(each.next().claim());
        }
        return batch;
    }

    private static boolean hasRoom(List<ClaimRecord> batch) {
        return batch.size() < MOST_RECORDS_IN_APPEND;
    }

    private void appendedAt(AppendResult appended, List<ClaimRecord> batch) {
        if (appended.offset() == ledger.nextOffset()) {
            ledger.apply(appended.offset(), appended.loggedAtMillis(), batch);
            settle(batch);
            return;
        }
        readAgain(batch);
    }

    /** Reads the stream to its head, which also finds appends whose answer was lost. */
    private void readAgain(List<ClaimRecord> batch) {
        readToHead().whenComplete((nothing, failure) -> {
            if (failure == null) {
                settle(batch);
            } else {
                pumpLater();
            }
        });
    }

    private CompletableFuture<Void> readToHead() {
        return TypedLogReader.readToHead(log, lane, settings.appendTimeout(), ledger::nextOffset, this::fold);
    }

    private void fold(Page<List<ClaimRecord>> page) {
        ledger.skipTruncated(page.firstOffset());
        page.records().forEach(entry -> ledger.apply(entry.offset(), entry.loggedAtMillis(), entry.body()));
    }

    private void settle(List<ClaimRecord> batch) {
        boolean missing = false;
        for (ClaimRecord each : batch) {
            missing |= each instanceof Claimed claim ? !settleClaim(claim) : !settleRelease((Released) each);
        }
        if (missing) {
            pumpLater();
            return;
        }
        busy = false;
        pump();
    }

    private boolean settleClaim(Claimed claim) {
        Pending waiting = pending.get(claim.nonce());
        if (waiting == null) {
            return true;
        }
        if (ledger.isReleased(claim.nonce())) {
            pending.remove(claim.nonce());
            waiting.result().complete(new ClaimResult.Abandoned("the request was given up by the entry that sent it"));
            return true;
        }
        Optional<Claimed> winner = ledger.winningClaim(claim.submission());
        if (winner.isEmpty()) {
            return false;
        }
        pending.remove(claim.nonce());
        if (winner.get().nonce().equals(claim.nonce())) {
            waiting.result().complete(new ClaimResult.Won(claim.nonce()));
            return true;
        }
        forsworn.add(claim.nonce());
        waiting.result().complete(new ClaimResult.Lost(winner.get()));
        return true;
    }

    private boolean settleRelease(Released release) {
        if (!ledger.isReleased(release.nonce())) {
            return false;
        }
        releases.remove(release.nonce());
        return true;
    }

    private void pumpLater() {
        lane.schedule(RETRY_PAUSE, () -> {
            busy = false;
            pump();
        });
    }
}
