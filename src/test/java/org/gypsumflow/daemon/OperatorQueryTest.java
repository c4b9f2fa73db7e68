package org.gypsumflow.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.gypsumflow.http.HttpClient;
import org.gypsumflow.standin.LoopbackCluster;
import org.gypsumflow.standin.LoopbackCluster.RunningDaemon;
import org.testng.annotations.Test;

public final class OperatorQueryTest {
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Test
    public void anEntryServesInterferingKindsBesideItsMetrics() throws IOException {
        String address = "127.0.0.1:" + freePort();
        LoopbackCluster cluster = LoopbackCluster.start(Duration.ofMillis(50), settings -> {
            String extended = settings.contains("role = \"entry\"")
                    ? settings + "\ninterference-avoidance = true\nmetrics-address = \"" + address + "\"\n"
                    : settings;
            Daemon daemon = Daemon.start(SettingsReader.parse(extended));
            return new RunningDaemon(daemon.httpPort(), daemon::abort);
        });
        HttpClient client = HttpClient.create();
        try {
            assertEquals(body(client, address, "/interference"), "[]");
            String metrics = body(client, address, "/metrics");
            assertTrue(metrics.contains("gypsumflow_interference_believed_pairs 0.0"), metrics);
        } finally {
            client.close();
            cluster.close();
        }
    }

    private static String body(HttpClient client, String address, String path) {
        return new String(
                client.get("http://" + address + path, Map.of(), Duration.ofSeconds(10))
                        .join()
                        .body(),
                StandardCharsets.UTF_8);
    }
}
