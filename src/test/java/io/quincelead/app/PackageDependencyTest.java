package io.quincelead.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The direction of dependencies, and who may touch sockets, threads and the system's clock: see the
 * table in docs/architecture.md.
 */
class PackageDependencyTest {
    /** Each may use those before it, none those behind it. */
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

    private static String[] packages(List<String> names) {
        return names.stream().map(n -> "io.quincelead." + n + "..").toArray(String[]::new);
    }

    @Test
    void dependenciesPointOneWay() {
        for (int i = 0; i < ORDER.size() - 1; i++) {
            noClasses()
                    .that()
                    .resideInAPackage("io.quincelead." + ORDER.get(i) + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(packages(ORDER.subList(i + 1, ORDER.size())))
                    .check(CLASSES);
        }
        slices().matching("io.quincelead.(*)..").should().beFreeOfCycles().check(CLASSES);
        noClasses().should().resideOutsideOfPackages(packages(ORDER)).check(CLASSES);
    }

    /** What runs in simulated time gets its clock, turns and calls handed in. */
    @Test
    void onlyTransportAndProgramsTouchSocketsThreadsAndClocks() {
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
