package org.gypsumflow.command;

import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.SubmissionDigest;

/** A record of a claim stream, in which entries compete for the right to start the tasks of a submission. */
public sealed interface ClaimRecord {

    /**
     * Returns the submission that is claimed.
     *
     * @return digest of the submission
     */
    SubmissionDigest submission();

    /**
     * Returns the nonce that identifies the claim.
     *
     * @return nonce of the claim that is made or released
     */
    ClaimNonce nonce();

    /**
     * Claims the right to start the tasks of a submission; the first claim in log order that is not released wins.
     *
     * @param submission digest of the submission
     * @param fingerprint hash of the job's service and payloads, to detect another job under the same key
     * @param taskCount number of tasks of the job
     * @param holder incarnation of the entry that claims the submission
     * @param nonce identifies this claim; a repeated append of the claim has the same nonce
     */
    record Claimed(SubmissionDigest submission, long fingerprint, int taskCount, Incarnation holder, ClaimNonce nonce)
            implements ClaimRecord {}

    /**
     * Releases a claim under which its holder has started no task and never will.
     *
     * @param submission digest of the submission
     * @param nonce nonce of the claim, which never wins after this record
     */
    record Released(SubmissionDigest submission, ClaimNonce nonce) implements ClaimRecord {}
}
