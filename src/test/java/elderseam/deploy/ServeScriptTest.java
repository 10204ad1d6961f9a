package elderseam.deploy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The arguments that deploy/serve.sh gives to java, seen by a java that prints them. */
class ServeScriptTest {
    @TempDir
    Path folder;

    private String javaArguments(String config) throws Exception {
        Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        Path file = Files.writeString(folder.resolve("config.json"), config);
        // nothing else is on the path: the script must not need another program
        ProcessBuilder script = new ProcessBuilder("/bin/sh", "deploy/serve.sh").redirectErrorStream(true);
        script.environment().putAll(Map.of("PATH", folder.toString(), "RELAY_CONFIG", file.toString()));
        return new String(script.start().getInputStream().readAllBytes(), UTF_8);
    }

    private void assertMemory(String config, String heap, String directMemory) throws Exception {
        String arguments = javaArguments(config);
        assertTrue(
                arguments.contains("-Xmx" + heap)
                        && arguments.contains("MaxDirectMemorySize=" + directMemory)
                        && arguments.contains(" serve"),
                arguments);
    }

    /** A heap of 64 MB under any limit would have the process killed under a small one. */
    @Test
    void heapAndBuffersFollowTheLimit() throws Exception {
        assertMemory("{\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":256},\"known\":{}}", "64m", "10m");
        assertMemory("{\"limits\":{\n \"memory_mb\" : 96,\n \"sockets\":256}}", "32m", "8m");
        assertMemory("{\"limits\":{\"memory_mb\":40}}", "24m", "6m");
        assertMemory("{}", "64m", "12m");
    }

    /** A command substitution forks a subshell, which the platform refuses: the script must end in one process. */
    @Test
    void theScriptForksNothing() throws Exception {
        String script = Files.readString(Path.of("deploy/serve.sh"));
        assertTrue(
                !script.matches("(?s).*\\$\\((?!\\().*") && !script.contains("`"),
                "a command substitution in deploy/serve.sh");
        assertTrue(
                script.strip()
                                .lines()
                                .filter(line -> line.startsWith("exec java "))
                                .count()
                        == 1,
                "no exec java in deploy/serve.sh");
    }

    /** An archive that is missing or no archive must not fail the start, and must not print a line among the program's. */
    @Test
    void anUnusableArchiveDoesNotPreventTheStart() throws Exception {
        String arguments = javaArguments("{}");
        assertTrue(arguments.contains("-Xshare:auto -XX:SharedArchiveFile=target/elderseam.jsa"), arguments);
        Path junk = Files.writeString(folder.resolve("junk.jsa"), "no archive".repeat(1_000));
        for (String file : List.of(junk.toString(), folder.resolve("none.jsa").toString())) {
            Process java = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-Xshare:auto",
                            "-XX:SharedArchiveFile=" + file,
                            "-Xlog:cds=off",
                            "-Xlog:cds+dynamic=off",
                            "-XX:+UseSerialGC",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "elderseam.Main")
                    .start();
            String out = new String(java.getInputStream().readAllBytes(), UTF_8);
            String err = new String(java.getErrorStream().readAllBytes(), UTF_8);
            assertEquals(2, java.waitFor(), "its own usage fault: it has started; " + err);
            assertEquals("", out);
            assertTrue(err.contains("Usage: elderseam"), err);
        }
    }
}
