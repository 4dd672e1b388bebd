package io.quincelead.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks how the build creates the class-data archive that the command in the deploy file uses. */
class ClassDataArchiveBuildTest {
    private static String find(String file, String pattern) throws IOException {
        Matcher matcher = Pattern.compile(pattern).matcher(Files.readString(Path.of(file)));
        assertTrue(matcher.find(), file + " has no " + pattern);
        return matcher.group(1);
    }

    /**
     * A running service crashed when its archive was rewritten in place
     * (docs/incidents/jvm-crash.md).
     */
    @Test
    void archiveIsWrittenAsideAndRenamed() throws IOException {
        String inUse = find("deploy/service.toml", "-XX:SharedArchiveFile=target/(\\S+)");
        String written =
                find("pom.xml", "-XX:ArchiveClassesAtExit=\\$\\{project.build.directory}/([^<]+)<");
        assertNotEquals(inUse, written);
        String renamedTo =
                find(
                        "pom.xml",
                        "<executable>mv</executable>(?s:.*?)/"
                                + Pattern.quote(written)
                                + "</argument>\\s*<argument>\\$\\{project.build.directory}/([^<]+)<");
        assertEquals(inUse, renamedTo);
    }
}
