package org.gypsumflow.command;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.SubmissionDigest;

/**
 * Assigns submissions to claim streams, and each claim stream to the entry that should append to it, its owner.
 *
 * <p>Entries that know different live entries may determine different owners, so that two entries claim the same
 * submission. The second claim costs a record in the log, but starts no task twice: only the holder of the first claim
 * in log order may start the tasks.
 */
public final class ClaimStreamOwnership {
    private ClaimStreamOwnership() {}

    /**
     * Returns the claim stream of a submission.
     *
     * @param submission digest of the submission
     * @param streamCount number of claim streams, the same on all entries
     * @return index of the stream, from 0
     */
    public static int streamIndex(SubmissionDigest submission, int streamCount) {
        return (int) Long.remainderUnsigned(submission.low(), streamCount);
    }

    /**
     * Returns the owner of a claim stream, chosen by rendezvous hashing.
     *
     * @param stream index of the stream, from 0
     * @param liveEntries entries that are known to be in service
     * @return the entry with the highest hash, or empty if there are no entries
     */
    public static Optional<EntryAddress> ownerOf(int stream, Collection<EntryAddress> liveEntries) {
        return liveEntries.stream()
                .max(Comparator.comparingLong((EntryAddress entry) -> rendezvousHash(stream, entry))
                        .thenComparing(EntryAddress::incarnation));
    }

    private static long rendezvousHash(int stream, EntryAddress entry) {
        return Hashing.sha256()
                .hashString(stream + "/" + entry.incarnation().value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
