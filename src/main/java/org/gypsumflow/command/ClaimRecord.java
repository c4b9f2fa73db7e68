package org.gypsumflow.command;

import org.gypsumflow.model.ClaimNonce;
import org.gypsumflow.model.Incarnation;
import org.gypsumflow.model.SubmissionDigest;

/** A record of a claim stream. */
public sealed interface ClaimRecord {

    /**
     * Returns the submission that the record is about.
     *
     * @return the submission
     */
    SubmissionDigest submission();

    /**
     * Returns the claim that the record is about.
     *
     * @return the nonce of the claim
     */
    ClaimNonce nonce();

    /**
     * Asks for the right to start the tasks of a submission.
     *
     * @param submission the submission
     * @param fingerprint hash of what the job asks for
     * @param taskCount number of tasks
     * @param holder entry incarnation that claims
     * @param nonce tells this claim from others; a repeated append repeats it
     */
    record Claimed(SubmissionDigest submission, long fingerprint, int taskCount, Incarnation holder, ClaimNonce nonce)
            implements ClaimRecord {}

    /**
     * Gives a claim back whose holder started nothing under it and never will.
     *
     * @param submission the submission
     * @param nonce the claim that is void from now on
     */
    record Released(SubmissionDigest submission, ClaimNonce nonce) implements ClaimRecord {}
}
