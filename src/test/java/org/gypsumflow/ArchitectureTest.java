package org.gypsumflow;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
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
    public void valuesDependOnNothingElseOfOurs() {
        noClasses()
                .that()
                .resideInAnyPackage(packages("model"))
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        packages("command", "query", "control", "traffic", "platform", "wire", "http", "daemon", "cli"))
                .check(classes);
    }

    @Test
    public void decisionsKnowNoThreadNoEncodingAndNoTransport() {
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
    public void controlAndTrafficKnowNoEncodingAndMakeNoThread() {
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
    public void queriesNeverReachWhatChangesState() {
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
    public void idsAreValueTypes() {
        classes()
                .that()
                .resideInAPackage(ROOT + "model")
                .and()
                .haveNameMatching(".*(Name|Id|Digest|Nonce|Version|Incarnation|Key|Attempt)")
                .should()
                .beRecords()
                .check(classes);
    }

    @Test
    public void stateIsNeverHeldInStaticFields() {
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
