package org.gypsumflow.control;

import org.gypsumflow.model.Message;

/** Receives what happens on connections; called on any thread, for one connection in order. */
public interface ConnectionListener {
    /**
     * Takes a message.
     *
     * @param link connection that it came on
     * @param message the message
     */
    void messageReceived(Connection link, Message message);

    /**
     * Takes note of the end of a connection.
     *
     * @param link the connection
     */
    void connectionClosed(Connection link);
}
