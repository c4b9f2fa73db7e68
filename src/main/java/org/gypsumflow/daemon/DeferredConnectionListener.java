package org.gypsumflow.daemon;

import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.model.Message;

/**
 * Forwards to a listener that is created only after the port is known; until then it closes connections that send
 * messages.
 */
final class DeferredConnectionListener implements ConnectionListener {
    private volatile ConnectionListener delegate;

    void setDelegate(ConnectionListener newDelegate) {
        this.delegate = newDelegate;
    }

    @Override
    public void messageReceived(Connection connection, Message message) {
        ConnectionListener current = delegate;
        if (current == null) {
            connection.close();
            return;
        }
        current.messageReceived(connection, message);
    }

    @Override
    public void connectionClosed(Connection connection) {
        ConnectionListener current = delegate;
        if (current != null) {
            current.connectionClosed(connection);
        }
    }
}
