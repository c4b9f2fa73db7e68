package org.gypsumflow.traffic;

import org.gypsumflow.command.ClaimRecord.Claimed;
import org.gypsumflow.model.ClaimNonce;

/** Result of an attempt to claim a submission in the log. */
sealed interface ClaimResult {
    /**
     * The claim is the first valid one of its submission in the log: its holder may start the tasks.
     *
     * @param nonce nonce of the claim
     */
    record Won(ClaimNonce nonce) implements ClaimResult {}

    /**
     * Another claim precedes it in the log.
     *
     * @param winner the claim that precedes it, possibly of the same entry
     */
    record Lost(Claimed winner) implements ClaimResult {}

    /**
     * The claim was released, or the log did not confirm it in time; no task was or will be started under it.
     *
     * @param reason why the claim was abandoned, for logs and error messages
     */
    record Abandoned(String reason) implements ClaimResult {}
}
