package org.gypsumflow.daemon;

import org.gypsumflow.control.Connection;
import org.gypsumflow.control.ConnectionListener;
import org.gypsumflow.model.Message;

/** Stands in for a listener that is created only after the port is known. */
final class DeferredConnectionListener implements ConnectionListener {
    private volatile ConnectionListener listener;

    void setDelegate(ConnectionListener created) {
        this.listener = created;
    }

    @Override
    public void messageReceived(Connection link, Message message) {
        ConnectionListener now = listener;
        if (now == null) {
            link.close();
            return;
        }
        now.messageReceived(link, message);
    }

    @Override
    public void connectionClosed(Connection link) {
        ConnectionListener now = listener;
        if (now != null) {
            now.connectionClosed(link);
        }
    }
}
