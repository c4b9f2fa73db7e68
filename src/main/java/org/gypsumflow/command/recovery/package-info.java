/** Decides when an agent repeats a call that its worker left unanswered; {@code CallRecovery} is the way in. */
package org.gypsumflow.command.recovery;
