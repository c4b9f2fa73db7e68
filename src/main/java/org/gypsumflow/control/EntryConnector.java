package org.gypsumflow.control;

import java.util.concurrent.CompletableFuture;
import org.gypsumflow.model.EntryAddress;

/** Opens connections to entries. */
@FunctionalInterface
public interface EntryConnector {
    /**
     * Opens a connection to an entry.
     *
     * @param address name and listening address of the entry
     * @param listener receives the connection's messages and its end
     * @return completes with the open connection, or exceptionally if the entry cannot be reached
     */
    CompletableFuture<Connection> connect(EntryAddress address, ConnectionListener listener);
}
