package review;

import java.io.IOException;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;

/** Runs a case: {@code Cases NAME RECORD}. Exits with 1 if its rule was broken, 0 if it held, 2 if it could not run. */
public final class Cases {
    private Cases() {}

    public static void main(String[] words) throws Exception {
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly)));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int verdict = 2;
        try (Record record = new Record(Path.of(words[1]))) {
            record.line("case     %s, %s", words[0], trouble ? "with its disruption" : "without its disruption");
            try {
                verdict = switch (words[0]) {
                    case "certificate" -> CertificateCase.run(record, trouble, folder);
                    case "refused" -> RefusedCase.run(record, trouble, folder);
                    default -> throw new IllegalArgumentException(words[0]);
                };
            } catch (IOException | RuntimeException e) {
                record.line("could not run: %s", e);
            }
            record.line("exit     %d", verdict);
        } finally {
            if (System.getenv("KEEP") == null) {
                delete(folder);
            } else {
                System.out.println(folder);
            }
        }
        System.exit(verdict);
    }

    private static void delete(Path folder) throws IOException {
        Files.walkFileTree(folder, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
                Files.deleteIfExists(file);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path visited, IOException fault) throws IOException {
                Files.deleteIfExists(visited);
                return FileVisitResult.CONTINUE;
            }
        });
    }
}
