package org.gypsumflow.traffic;

import java.util.ArrayList;
import java.util.List;
import org.gypsumflow.control.Connection;
import org.gypsumflow.model.Message;

/** Test connection that records the messages sent on it. */
record RecordingConnection(List<Message> sent) implements Connection {
    static RecordingConnection create() {
        return new RecordingConnection(new ArrayList<>());
    }

    @Override
    public void send(Message message) {
        sent.add(message);
    }

    @Override
    public void close() {}
}
