package elderseam.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** The two engines side by side: three processes each, the holder of one lease killed again and again ({@code KILLS}, 15 unless told). */
public final class EngineBench {
    private record Held(int member, long atNs) {}

    private EngineBench() {}

    public static void main(String[] args) throws Exception {
        int kills = args.length > 0 ? Integer.parseInt(args[0]) : 15;
        for (String engine : new String[] {"ratis", "zookeeper"}) {
            measure(engine, kills);
        }
    }

    private static void measure(String engine, int kills) throws Exception {
        Path folder = Files.createTempDirectory("engine-" + engine);
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort() % 20_000 + 10_000; // below the ports that are given out
        }
        BlockingQueue<Held> held = new LinkedBlockingQueue<>();
        Map<Integer, Process> members = new LinkedHashMap<>();
        long began = System.nanoTime();
        for (int i = 1; i <= 3; i++) {
            members.put(i, start(engine, i, port, folder, held));
        }
        try {
            Held now = held.poll(60, TimeUnit.SECONDS);
            System.out.println(engine + ": first lease after " + (now.atNs - began) / 1_000_000 + " ms");
            Histogram takeover = new Histogram(60_000_000L, 3),
                    memory = new Histogram(64_000_000L, 3),
                    threads = new Histogram(10_000L, 3);
            for (int k = 0; k < kills; k++) {
                Thread.sleep(2_500); // all three settled: what follows is one failure
                for (Process p : members.values()) {
                    memory.recordValue(status(p, "VmRSS"));
                    threads.recordValue(status(p, "Threads"));
                }
                held.clear();
                long killed = System.nanoTime();
                members.get(now.member).destroyForcibly().waitFor();
                Held next = held.poll(60, TimeUnit.SECONDS);
                takeover.recordValue((next.atNs - killed) / 1_000_000);
                members.put(now.member, start(engine, now.member, port, folder, held));
                now = next;
            }
            System.out.println(engine + ": new holder after ms p50 " + takeover.getValueAtPercentile(50) + ", p99 "
                    + takeover.getValueAtPercentile(99) + " of " + kills + " kills; memory of a process kB "
                    + memory.getValueAtPercentile(50) + ", threads " + threads.getValueAtPercentile(50));
        } finally {
            members.values().forEach(Process::destroyForcibly);
        }
    }

    private static Process start(String engine, int number, int port, Path folder, BlockingQueue<Held> held)
            throws IOException {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xss256k",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        EngineMember.class.getName(),
                        engine,
                        Integer.toString(number),
                        Integer.toString(port),
                        folder.resolve("m" + number).toString())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        BufferedReader lines = p.inputReader();
        Thread reader = new Thread(() -> lines.lines()
                .filter(l -> l.equals("held"))
                .forEach(l -> held.add(new Held(number, System.nanoTime()))));
        reader.setDaemon(true);
        reader.start();
        return p;
    }

    private static long status(Process p, String figure) throws IOException {
        return Files.readAllLines(Path.of("/proc/" + p.pid() + "/status")).stream()
                .filter(l -> l.startsWith(figure + ":"))
                .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")))
                .findFirst()
                .orElse(0);
    }
}
