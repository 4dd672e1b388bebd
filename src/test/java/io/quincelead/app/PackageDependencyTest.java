package io.quincelead.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the direction of dependencies, and which packages may use sockets, threads and the system
 * clock: see the table in docs/architecture.md.
 */
class PackageDependencyTest {
    /** The packages in order: each may depend on those before it and on none after it. */
    private static final List<String> ORDER =
            List.of(
                    "config",
                    "eventloop",
                    "transport",
                    "store",
                    "cluster",
                    "policy",
                    "api",
                    "worker",
                    "leadership",
                    "peer",
                    "scheduler",
                    "zone",
                    "autoscaler",
                    "cli",
                    "app");

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.quincelead");

    private static String[] packagePatterns(List<String> names) {
        return names.stream().map(name -> "io.quincelead." + name + "..").toArray(String[]::new);
    }

    @Test
    void dependenciesPointOneWay() {
        for (int i = 0; i < ORDER.size() - 1; i++) {
            noClasses()
                    .that()
                    .resideInAPackage("io.quincelead." + ORDER.get(i) + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(packagePatterns(ORDER.subList(i + 1, ORDER.size())))
                    .check(CLASSES);
        }
        slices().matching("io.quincelead.(*)..").should().beFreeOfCycles().check(CLASSES);
        noClasses().should().resideOutsideOfPackages(packagePatterns(ORDER)).check(CLASSES);
    }

    /** Code that runs in simulated time has its clock, event loop and transport injected. */
    @Test
    void onlyTransportAndProgramsUseSocketsThreadsAndClocks() {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        "io.quincelead.transport..", "io.quincelead.cli..", "io.quincelead.app..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.channels..",
                        "java.util.concurrent..",
                        "org.xnio..",
                        "io.undertow..")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Thread.class, java.time.Clock.class, java.util.Random.class)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }
}
