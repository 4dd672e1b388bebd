package io.quincelead.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how {@code .ci/run} judges test reports, with small sample reports. */
class CiVerdictTest {
    private static final String LISTED = "a.OneTest#first: tools/simulate rough 1 1; late; issue 1";

    private static final String FAILED_FIRST =
            "<testcase name=\"first\" classname=\"a.OneTest\" time=\"1\">\n"
                    + "<failure message=\"m\">text</failure>\n</testcase>\n";

    private static final String PASSED_FIRST =
            "<testcase name=\"first\" classname=\"a.OneTest\" time=\"1\"/>\n";

    private static final String PASSED_SECOND =
            "<testcase name=\"second(long)[2]\" classname=\"a.OneTest\" time=\"1\"/>\n";

    private static final String FAILED_SECOND =
            "<testcase name=\"second(long)[1]\" classname=\"a.OneTest\" time=\"1\">\n"
                    + "<error type=\"t\">text</error>\n</testcase>\n";

    private static final String SKIPPED_FIRST =
            "<testcase name=\"first\" classname=\"a.OneTest\" time=\"0\">\n"
                    + "<skipped/>\n</testcase>\n";

    @TempDir private Path folder;

    private record Verdict(int exitStatus, String output) {}

    @BeforeEach
    void addTestSource() throws IOException {
        Files.createDirectories(folder.resolve("sources/a"));
        Files.createDirectories(folder.resolve("reports"));
        Files.writeString(folder.resolve("sources/a/OneTest.java"), "");
    }

    private void writeReport(String testClass, String... testCases) throws IOException {
        Files.writeString(
                folder.resolve("reports/TEST-" + testClass + ".xml"),
                "<testsuite>\n" + String.join("", testCases) + "</testsuite>\n");
    }

    private Verdict judge(String... knownRed) throws IOException, InterruptedException {
        Path list = folder.resolve("KNOWN-RED.txt");
        Files.writeString(list, String.join("\n", knownRed) + "\n");
        Process process =
                new ProcessBuilder(
                                List.of(
                                        "bash",
                                        ".ci/judge-reports",
                                        list.toString(),
                                        folder.resolve("sources").toString(),
                                        folder.resolve("reports").toString()))
                        .redirectErrorStream(true)
                        .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        return new Verdict(process.exitValue(), output);
    }

    private static void assertFails(Verdict verdict, String line) {
        assertEquals(1, verdict.exitStatus, verdict.output);
        assertTrue(verdict.output.contains(line), verdict.output);
    }

    @Test
    void passesWhereEveryTestPasses() throws IOException, InterruptedException {
        writeReport("a.OneTest", PASSED_FIRST, PASSED_SECOND);
        Verdict verdict = judge();
        assertEquals(new Verdict(0, "2 tests ran, 0 failed\n"), verdict);
    }

    @Test
    void toleratesListedFailuresAndPrintsThem() throws IOException, InterruptedException {
        writeReport("a.OneTest", FAILED_FIRST, PASSED_SECOND);
        Verdict verdict = judge(LISTED);
        assertEquals(new Verdict(0, "KNOWN RED: " + LISTED + "\n2 tests ran, 1 failed\n"), verdict);
    }

    @Test
    void printsBenchEntriesWithoutJudgingThem() throws IOException, InterruptedException {
        writeReport("a.OneTest", PASSED_FIRST);
        String entry = "bench: hunt, seed 7; a rule broke; issue 2";
        Verdict verdict = judge(entry);
        assertEquals(0, verdict.exitStatus, verdict.output);
        assertTrue(
                verdict.output.contains("KNOWN RED (bench, not judged here): " + entry),
                verdict.output);
    }

    @Test
    void failsOnUnlistedFailedTest() throws IOException, InterruptedException {
        writeReport("a.OneTest", FAILED_FIRST, FAILED_SECOND, PASSED_SECOND);
        assertFails(judge(LISTED), "FAILED: a.OneTest#second\n");
    }

    @Test
    void failsOnListedTestThatPasses() throws IOException, InterruptedException {
        writeReport("a.OneTest", PASSED_FIRST);
        assertFails(judge(LISTED), "PASSES, though listed as known red: a.OneTest#first\n");
    }

    @Test
    void failsOnListedTestThatDidNotRun() throws IOException, InterruptedException {
        writeReport("a.OneTest", PASSED_SECOND);
        assertFails(judge(LISTED), "DID NOT RUN, though listed as known red: a.OneTest#first\n");
        writeReport("a.OneTest", SKIPPED_FIRST, PASSED_SECOND);
        assertFails(judge(LISTED), "DID NOT RUN, though listed as known red: a.OneTest#first\n");
    }

    @Test
    void failsOnTestClassWithoutReport() throws IOException, InterruptedException {
        writeReport("a.OneTest", PASSED_FIRST);
        Files.writeString(folder.resolve("sources/a/TwoTest.java"), "");
        assertFails(judge(), "HAS NO REPORT: a.TwoTest\n");
    }

    @Test
    void failsOnMalformedLine() throws IOException, InterruptedException {
        writeReport("a.OneTest", PASSED_FIRST);
        assertFails(judge("some test"), "NEITHER CLASS#METHOD NOR BENCH: some test\n");
    }

    @Test
    void failsWhereNoTestRan() throws IOException, InterruptedException {
        assertFails(judge(), "0 tests ran, 0 failed\n");
    }

    @Test
    void acceptsMoreThanThreeEntries() throws IOException, InterruptedException {
        writeReport("a.OneTest", FAILED_FIRST);
        String bench = "bench: hunt, seed 7; late; issue 2";
        assertEquals(0, judge(LISTED, bench, bench, bench).exitStatus);
    }
}
