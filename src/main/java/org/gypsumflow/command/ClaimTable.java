package org.gypsumflow.command;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gypsumflow.command.ClaimRecord.Claimed;
import org.gypsumflow.command.ClaimRecord.Released;
import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.SubmissionDigest;

/**
 * Folds one claim stream: of the claims that were not released, the first in log order wins.
 *
 * <p>The fold depends on the records and their order only, so every reader of the stream names the same winner. Not
 * safe for use by several threads.
 */
public final class ClaimTable {
    private record Dated(ClaimRecord entry, long loggedAtMillis) {}

    private final Duration window;
    private final Map<SubmissionDigest, Claimed> winners = new HashMap<>();
    private final Set<ClaimNonce> released = new HashSet<>();
    private final Deque<Dated> byAge = new ArrayDeque<>();
    private long nextOffset;

    private ClaimTable(Duration window) {
        this.window = window;
    }

    /**
     * Creates a ledger that has read nothing.
     *
     * @param window how long a claim is remembered, shorter than the log's retention
     * @return the ledger
     */
    public static ClaimTable create(Duration window) {
        return new ClaimTable(window);
    }

    /**
     * Returns the offset of the first record not yet folded.
     *
     * @return the offset
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Moves past one offset of the stream, folding what stands there.
     *
     * @param offset offset of the records
     * @param loggedAtMillis when the log took them, in milliseconds of its clock
     * @param records records that were appended together, in order
     */
    public void apply(long offset, long loggedAtMillis, Iterable<ClaimRecord> records) {
        if (offset < nextOffset) {
            return;
        }
        nextOffset = offset + 1;
        for (ClaimRecord each : records) {
            foldOne(each);
            byAge.addLast(new Dated(each, loggedAtMillis));
        }
        forgetBefore(loggedAtMillis - window.toMillis());
    }

    /**
     * Returns the claim that won a submission.
     *
     * @param submission the submission
     * @return the winner, or empty if nobody holds a claim
     */
    public Optional<Claimed> winningClaim(SubmissionDigest submission) {
        return Optional.ofNullable(winners.get(submission));
    }

    /**
     * Tells whether a claim was given back.
     *
     * @param nonce the claim
     * @return true if the stream holds its release
     */
    public boolean isReleased(ClaimNonce nonce) {
        return released.contains(nonce);
    }

    /**
     * Skips records that the log no longer keeps; they are older than the window.
     *
     * @param firstOffset oldest offset that the log still keeps
     */
    public void skipTruncated(long firstOffset) {
        nextOffset = Math.max(nextOffset, firstOffset);
    }

    private void foldOne(ClaimRecord claimRecord) {
        if (claimRecord instanceof Released release) {
            released.add(release.nonce());
            winners.computeIfPresent(
                    release.submission(),
                    (submission, winner) -> winner.nonce().equals(release.nonce()) ? null : winner);
            return;
        }
        Claimed claim = (Claimed) claimRecord;
        if (!released.contains(claim.nonce())) {
            winners.putIfAbsent(claim.submission(), claim);
        }
    }

    private void forgetBefore(long millis) {
        while (!byAge.isEmpty() && byAge.peekFirst().loggedAtMillis() < millis) {
            ClaimRecord old = byAge.removeFirst().entry();
            if (old instanceof Released) {
                released.remove(old.nonce());
                continue;
            }
            winners.computeIfPresent(
                    old.submission(), (submission, winner) -> winner.nonce().equals(old.nonce()) ? null : winner);
        }
    }
}
