package org.gypsumflow.control;

import org.gypsumflow.model.Message;

/** One connection to another process of the system; messages arrive in order or not at all. */
public interface Connection {
    /**
     * Sends a message; it is lost without notice if the connection breaks.
     *
     * @param message the message
     */
    void send(Message message);

    /** Closes the connection; its listener is told as for any other end. */
    void close();
}
