package org.gypsumflow.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.gypsumflow.control.Connection;
import org.gypsumflow.model.Message;

/** Test connection that records the messages sent on it and whether it was closed. */
record RecordingConnection(List<Message> sent, AtomicBoolean closed) implements Connection {
    static RecordingConnection create() {
        return new RecordingConnection(new ArrayList<>(), new AtomicBoolean());
    }

    @Override
    public void send(Message message) {
        sent.add(message);
    }

    @Override
    public void close() {
        closed.set(true);
    }
}
