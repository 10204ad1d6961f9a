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

/** What deploy/serve.sh makes of the memory limit, shown by a java that only tells its arguments. */
class ServeScriptTest {
    @TempDir
    Path folder;

    private String arguments(String config) throws Exception {
        Path java = Files.writeString(folder.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertTrue(java.toFile().setExecutable(true));
        Path file = Files.writeString(folder.resolve("config.json"), config);
        // java alone is on the path: where the fleet's days are played no other program may be started
        ProcessBuilder b = new ProcessBuilder("/bin/sh", "deploy/serve.sh").redirectErrorStream(true);
        b.environment().putAll(Map.of("PATH", folder.toString(), "RELAY_CONFIG", file.toString()));
        return new String(b.start().getInputStream().readAllBytes(), UTF_8);
    }

    private void tells(String config, String heap, String direct) throws Exception {
        String told = arguments(config);
        assertTrue(
                told.contains("-Xmx" + heap)
                        && told.contains("MaxDirectMemorySize=" + direct)
                        && told.contains(" serve"),
                told);
    }

    /** A heap of 64 MB under any limit would have the process killed under a small one. */
    @Test
    void heapAndBuffersFollowTheLimit() throws Exception {
        tells("{\"limits\":{\"cores\":1.0,\"memory_mb\":128,\"sockets\":256},\"known\":{}}", "64m", "10m");
        tells("{\"limits\":{\n \"memory_mb\" : 96,\n \"sockets\":256}}", "32m", "8m");
        tells("{\"limits\":{\"memory_mb\":40}}", "24m", "6m");
        tells("{}", "64m", "12m");
    }

    /** A command substitution forks a subshell, which the fleet's days refuse: the script has to end in one process. */
    @Test
    void itForksNothing() throws Exception {
        String script = Files.readString(Path.of("deploy/serve.sh"));
        assertTrue(
                !script.matches("(?s).*\\$\\((?!\\().*") && !script.contains("`"),
                "a command substitution in deploy/serve.sh");
        assertTrue(
                script.strip().lines().filter(l -> l.startsWith("exec java ")).count() == 1,
                "no exec java in deploy/serve.sh");
    }

    /** An archive that is not there, or is none, must cost no start and no line where the program's are expected. */
    @Test
    void withoutAnArchiveItStartsAllTheSame() throws Exception {
        String told = arguments("{}");
        assertTrue(told.contains("-Xshare:auto -XX:SharedArchiveFile=target/elderseam.jsa"), told);
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
