package review;

import java.nio.file.Path;

/** Runs one case: exits with 1 if its rule was broken, 0 if it held, and 2 if the case could not run. */
final class Script {
    interface Case {
        /** Plays the case, and returns whether the rule was broken. */
        boolean play(Deployment deployment, boolean trouble) throws Exception;
    }

    private Script() {}

    static void run(String[] arguments, Case played) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record();
        int exitCode = 2;
        try {
            record.add("the disruption is " + (trouble ? "on" : "off"));
            boolean broken = played.play(new Deployment(record), trouble);
            record.add(broken ? "the rule was broken" : "the rule held");
            exitCode = broken ? 1 : 0;
        } catch (Exception failure) {
            record.add("the case could not run: " + failure);
        }
        try {
            record.write(Path.of(arguments[0]).resolve("record.txt"));
        } catch (java.io.IOException failure) {
            exitCode = 2;
        }
        System.exit(exitCode);
    }
}
