package org.gypsumflow.command;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.gypsumflow.model.EntryAddress;
import org.gypsumflow.model.SubmissionDigest;

/** Names the entry that should claim a submission; a wrong name costs a record in the log, never a double start. */
public final class ClaimStreamOwnership {
    private ClaimStreamOwnership() {}

    /**
     * Maps a submission to its claim stream.
     *
     * @param submission the submission
     * @param streams number of claim streams
     * @return index of the stream, from 0
     */
    public static int streamIndex(SubmissionDigest submission, int streams) {
        return (int) Long.remainderUnsigned(submission.low(), streams);
    }

    /**
     * Names the owner of a claim stream by rendezvous hashing.
     *
     * @param stream index of the stream
     * @param live entries believed to be alive
     * @return the entry with the highest hash, or empty if there is none
     */
    public static Optional<EntryAddress> ownerOf(int stream, Collection<EntryAddress> live) {
        return live.stream()
                .max(Comparator.comparingLong((EntryAddress entry) -> weight(stream, entry))
                        .thenComparing(EntryAddress::incarnation));
    }

    private static long weight(int stream, EntryAddress entry) {
        return Hashing.sha256()
                .hashString(stream + "/" + entry.incarnation().value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
