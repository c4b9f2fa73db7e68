package org.gypsumflow.wire;

import org.gypsumflow.model.QueryMessage;
import org.gypsumflow.model.QueryMessage.FindTasks;
import org.gypsumflow.model.RequestId;
import org.gypsumflow.wire.generated.Envelope;

/** Converts the messages that only read from their receiver to and from protobuf. */
final class QueryCodec {
    private QueryCodec() {}

    static Envelope encode(QueryMessage query) {
        FindTasks find = (FindTasks) query;
        return Envelope.newBuilder()
                .setFindTasks(org.gypsumflow.wire.generated.FindTasks.newBuilder()
                        .setRequest(find.request().value())
                        .setSubmission(ValueCodec.encode(find.submission())))
                .build();
    }

    static QueryMessage decode(Envelope envelope) {
        return new FindTasks(
                RequestId.of(envelope.getFindTasks().getRequest()),
                ValueCodec.decode(envelope.getFindTasks().getSubmission()));
    }
}
