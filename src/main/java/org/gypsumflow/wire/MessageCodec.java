package org.gypsumflow.wire;

import org.gypsumflow.model.BestEffortMessage;
import org.gypsumflow.model.CommandMessage;
import org.gypsumflow.model.Message;
import org.gypsumflow.model.QueryMessage;
import org.gypsumflow.model.ReportMessage;
import org.gypsumflow.wire.generated.Envelope;

/** Translates messages between processes to and from protobuf; commands, queries and reports each have their codec. */
public final class MessageCodec {
    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its envelope
     */
    public static Envelope encode(Message message) {
        if (message instanceof CommandMessage command) {
            return CommandCodec.encode(command);
        }
        if (message instanceof QueryMessage query) {
            return QueryCodec.encode(query);
        }
        if (message instanceof BestEffortMessage dispatch) {
            return BestEffortCodec.encode(dispatch);
        }
        return ReportCodec.encode((ReportMessage) message);
    }

    /**
     * Decodes an envelope.
     *
     * @param envelope the envelope
     * @return the message
     * @throws org.gypsumflow.model.ValidationException if a field is out of bounds
     * @throws IllegalArgumentException if the envelope holds no known message
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
                    JOB_GIVEN_UP -> BestEffortCodec.decode(envelope);
            case MESSAGE_NOT_SET -> throw new IllegalArgumentException("the envelope holds no known message");
            default -> CommandCodec.decode(envelope);
        };
    }
}
