package org.gypsumflow.control;

import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.EntryAddress;

/** Opens connections to entries. */
@FunctionalInterface
public interface EntryConnector {
    /**
     * Opens a connection.
     *
     * @param address where the entry listens
     * @param listener receives what happens on the connection
     * @return the open connection, or a failure
     */
    CompletableFuture<Connection> connect(EntryAddress address, ConnectionListener listener);
}
