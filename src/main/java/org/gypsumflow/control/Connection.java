package org.gypsumflow.control;

import org.gypsumflow.model.Message;

/** Connection to another process of the system. Messages are delivered in order, or lost if the connection breaks. */
public interface Connection {
    /**
     * Sends a message without waiting for its delivery. If the connection breaks, the message is lost without notice.
     *
     * @param message message to send
     */
    void send(Message message);

    /** Closes the connection and notifies its listener, as when the other process or the network closes it. */
    void close();
}
