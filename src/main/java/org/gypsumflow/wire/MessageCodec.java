package org.gypsumflow.wire;

import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.CommandMessage;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.QueryMessage;
import org.gypsumflow.model.ReportMessage;
import org.gypsumflow.wire.generated.Envelope;

/**
 * Converts messages between processes to and from protobuf envelopes.
 *
 * <p>Commands, queries, reports and messages about best-effort jobs each have a codec of their own.
 */
public final class MessageCodec {
    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message message to send
     * @return the envelope that contains it
     */
    public static Envelope encode(Message message) {
        if (message instanceof CommandMessage command) {
            return CommandCodec.encode(command);
        }
        if (message instanceof QueryMessage query) {
            return QueryCodec.encode(query);
        }
        if (message instanceof BestEffortMessage bestEffort) {
            return BestEffortCodec.encode(bestEffort);
        }
        return ReportCodec.encode((ReportMessage) message);
    }

    /**
     * Decodes an envelope.
     *
     * @param envelope a received envelope
     * @return the message that it contains
     * @throws org.gypsumflow.model.ValidationException if a field is out of bounds
     * @throws IllegalArgumentException if the envelope contains no message of a known type
     */
    public static Message decode(Envelope envelope) {
        return switch (envelope.getMessageCase()) {
            case FIND_TASKS -> QueryCodec.decode(envelope);
            case HEARTBEAT_REPLY, TASK_REPORT, FOUND_TASKS, JOB_REPORT, JOB_REFUSED -> ReportCodec.decode(envelope);
            case INTRODUCE,
                    NODE_HEARTBEAT,
                    START_ORDERS,
                    STOP_ORDERS,
                    AGENT_REPORT,
                    SHARE_STATE,
                    SHARE_JOBS,
                    GIVE_UP_JOB,
                    JOB_GIVEN_UP,
                    CONTACTS_CHANGED,
                    RELAY,
                    ENTRY_LOAD,
                    DELEGATE_JOB,
                    DELEGATION_ENDED -> BestEffortCodec.decode(envelope);
            case MESSAGE_NOT_SET ->
                throw new IllegalArgumentException("the envelope contains no message of a known type");
            default -> CommandCodec.decode(envelope);
        };
    }
}
