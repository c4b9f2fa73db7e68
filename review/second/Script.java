package second;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
public final class Script {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private Script() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (PrintWriter record =
                new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1]), StandardCharsets.UTF_8))) {
            code = run(arguments[0], trouble, record);
        }
        System.exit(code);
    }

    private static int run(String name, boolean trouble, PrintWriter record) {
        record.println("case " + name + ", trouble " + trouble);
        try (Deployment deployment = new Deployment(record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::killAll));
            boolean holds =
                    switch (name) {
                        case "late-start" -> LateStartAtNextWorker.holds(deployment, trouble);
                        case "cancel-after-dropped-route" -> CancelAfterDroppedRoute.holds(deployment, trouble);
                        default -> throw new IllegalArgumentException(name);
                    };
            deployment.noteJournals();
            record.println(holds ? "the rule held" : "the rule was broken");
            return holds ? HELD : BROKEN;
        } catch (Exception failure) {
            record.println("could not run: " + failure);
            return NOT_RUN;
        }
    }
}
