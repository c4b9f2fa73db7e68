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
 * Computes the winning claim of each submission from the records of one claim stream.
 *
 * <p>Of the claims that were not released, the first in log order wins. The result depends only on the records and
 * their order, so every reader of the stream determines the same winner. Not thread-safe.
 */
public final class ClaimTable {
    private record LoggedRecord(ClaimRecord record, long loggedAtMillis) {}

    private final Duration retention;
    private final Map<SubmissionDigest, Claimed> winningClaims = new HashMap<>();
    private final Set<ClaimNonce> releasedNonces = new HashSet<>();
    private final Deque<LoggedRecord> inLogOrder = new ArrayDeque<>();
    private long nextOffset;

    private ClaimTable(Duration retention) {
        this.retention = retention;
    }

    /**
     * Creates a table to which no record has been applied.
     *
     * @param retention how long a claim is remembered, by the log's clock; must be shorter than the log's retention
     * @return an empty table
     */
    public static ClaimTable create(Duration retention) {
        return new ClaimTable(retention);
    }

    /**
     * Returns the offset from which the stream must be read next.
     *
     * @return offset of the first record not yet applied
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Applies the records at one offset of the stream; an offset that was applied before is ignored.
     *
     * @param offset offset of the records in the stream
     * @param loggedAtMillis when the log stored them, in milliseconds of the log's clock
     * @param records records that were appended together, in order
     */
    public void apply(long offset, long loggedAtMillis, Iterable<ClaimRecord> records) {
        if (offset < nextOffset) {
            return;
        }
        nextOffset = offset + 1;
        for (ClaimRecord claimRecord : records) {
            applyRecord(claimRecord);
            inLogOrder.addLast(new LoggedRecord(claimRecord, loggedAtMillis));
        }
        evictLoggedBefore(loggedAtMillis - retention.toMillis());
    }

    /**
     * Returns the claim that gives its holder the right to start the tasks of a submission.
     *
     * @param submission digest of the submission
     * @return the winning claim, or empty if there is no claim that has not been released
     */
    public Optional<Claimed> winningClaim(SubmissionDigest submission) {
        return Optional.ofNullable(winningClaims.get(submission));
    }

    /**
     * Returns whether a claim has been released.
     *
     * @param nonce nonce of the claim
     * @return true if a release of the claim has been applied, even if the claim itself has not been
     */
    public boolean isReleased(ClaimNonce nonce) {
        return releasedNonces.contains(nonce);
    }

    /**
     * Skips records that cannot be decoded, which every reader skips, or that the log has deleted; deleted records are
     * older than the table's retention, so no claim is missed.
     *
     * @param offset offset of the next record to read; ignored if it is before {@link #nextOffset}
     */
    public void skipTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    private void applyRecord(ClaimRecord claimRecord) {
        if (claimRecord instanceof Released release) {
            releasedNonces.add(release.nonce());
            winningClaims.computeIfPresent(
                    release.submission(),
                    (submission, winner) -> winner.nonce().equals(release.nonce()) ? null : winner);
            return;
        }
        Claimed claim = (Claimed) claimRecord;
        if (!releasedNonces.contains(claim.nonce())) {
            winningClaims.putIfAbsent(claim.submission(), claim);
        }
    }

    private void evictLoggedBefore(long millis) {
        while (!inLogOrder.isEmpty() && inLogOrder.peekFirst().loggedAtMillis() < millis) {
            ClaimRecord expired = inLogOrder.removeFirst().record();
            if (expired instanceof Released) {
                releasedNonces.remove(expired.nonce());
                continue;
            }
            winningClaims.computeIfPresent(
                    expired.submission(),
                    (submission, winner) -> winner.nonce().equals(expired.nonce()) ? null : winner);
        }
    }
}
