package org.gypsumflow.control;

import org.gypsumflow.model.Message;

/** Callbacks for the messages and the end of connections. Called on any thread, but in order for each connection. */
public interface ConnectionListener {
    /**
     * Called when a message arrives.
     *
     * @param connection connection on which the message arrived
     * @param message decoded message
     */
    void messageReceived(Connection connection, Message message);

    /**
     * Called when a connection has ended, whichever side closed it.
     *
     * @param connection connection that ended
     */
    void connectionClosed(Connection connection);
}
