package org.gypsumflow;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.testng.Assert.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public final class ArchitectureTest {
    private static final String ROOT = "org.gypsumflow.";
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.gypsumflow");

    private static String[] packages(String... names) {
        String[] patterns = new String[names.length];
        for (int index = 0; index < names.length; index++) {
            patterns[index] = ROOT + names[index] + "..";
        }
        return patterns;
    }

    @Test
    public void valueTypesDependOnNoOtherPackage() {
        noClasses()
                .that()
                .resideInAnyPackage(packages("model"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages(
                        "command", "query", "control", "traffic", "platform", "log", "wire", "http", "daemon", "cli"))
                .check(classes);
    }

    @Test
    public void decisionsDependOnNoThreadNoEncodingAndNoTransport() {
        noClasses()
                .that()
                .resideInAnyPackage(packages("command"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        ROOT + "wire..",
                        ROOT + "http..",
                        ROOT + "control..",
                        ROOT + "traffic..",
                        ROOT + "platform..",
                        ROOT + "query..",
                        "io.netty..",
                        "com.google.protobuf..",
                        "org.glassfish..",
                        "com.ning..",
                        "com.fasterxml..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(java.util.concurrent.Executor.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(classes);
    }

    @Test
    public void controlAndTrafficDependOnNoEncodingAndCreateNoThread() {
        noClasses()
                .that()
                .resideInAnyPackage(packages("control", "traffic", "query"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        ROOT + "wire..",
                        ROOT + "http..",
                        "io.netty..",
                        "com.google.protobuf..",
                        "org.glassfish..",
                        "com.ning..",
                        "com.fasterxml..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(classes);
    }

    @Test
    public void commandsNeverUseQueries() {
        noClasses()
                .that()
                .resideInAnyPackage(packages("command", "control"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages("query"))
                .check(classes);
    }

    @Test
    public void queriesNeverDependOnCodeThatChangesState() {
        noClasses()
                .that()
                .resideInAnyPackage(packages("query"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages("traffic", "platform", "http", "wire", "daemon"))
                .check(classes);
    }

    @Test
    public void encodingsDependOnDecisionsAndNotTheOtherWayRound() {
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT + "wire..", ROOT + "daemon..", ROOT + "bench..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages("wire"))
                .check(classes);
    }

    @Test
    public void nothingDependsOnStandInsOrTheExperimentTool() {
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT + "standin..", ROOT + "bench..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages("standin", "bench"))
                .check(classes);
    }

    @Test
    public void onlyTheDaemonDependsOnThePlatformAdapter() {
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT + "platform..", ROOT + "daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages("platform"))
                .check(classes);
    }

    @Test
    public void thePlatformAdapterMakesNoDecisions() {
        noClasses()
                .that()
                .resideInAnyPackage(packages("platform"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(packages("command", "control", "query", "wire", "daemon"))
                .check(classes);
    }

    @Test
    public void fieldNamesOfThePlatformOccurOnlyInItsAdapterAndTheStandIns() throws IOException {
        Pattern names = Pattern.compile("\"(fencingToken|ackedThrough|untilMs|waitMs|heartbeatUrl|pathPrefix|bestEffort"
                + "|estimateMs|memMb|maxAttempts|targetLatencyMs|enforcesCapacity|clockMs|evacuate/|keyed\\.op)\\b");
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            List<Path> offenders = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.toString().contains("/platform/")
                            && !file.toString().contains("/standin/"))
                    .filter(file -> names.matcher(read(file)).find())
                    .toList();
            assertEquals(offenders, List.of());
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    @Test
    public void idsAreValueTypes() {
        classes()
                .that()
                .resideInAPackage(ROOT + "model")
                .and()
                .haveNameMatching(".*(Name|Id|Digest|Nonce|Version|Incarnation|Key|Attempt|RunNumber)")
                .should()
                .beRecords()
                .check(classes);
    }

    @Test
    public void staticFieldsAreFinal() {
        fields().that()
                .areStatic()
                .and()
                .areDeclaredInClassesThat()
                .resideOutsideOfPackage(ROOT + "wire.generated..")
                .should()
                .beFinal()
                .check(classes);
    }
}
