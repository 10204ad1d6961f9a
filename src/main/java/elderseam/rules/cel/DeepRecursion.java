package elderseam.rules.cel;

import java.util.function.Supplier;

/** Work that calls itself for each level of a tree, on a stack of its own: those of the program's threads hold 256 KiB. */
final class DeepRecursion {
    private static final long STACK = 16L << 20;

    private DeepRecursion() {}

    static <T> T run(Supplier<T> work) {
        Object[] result = new Object[1];
        RuntimeException[] failed = new RuntimeException[1];
        Thread t = new Thread(
                null,
                () -> {
                    try {
                        result[0] = work.get();
                    } catch (RuntimeException e) {
                        failed[0] = e;
                    }
                },
                "rules",
                STACK);
        t.start();
        boolean interrupted = false;
        while (t.isAlive()) {
            try {
                t.join();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
        if (failed[0] != null) {
            throw failed[0];
        }
        @SuppressWarnings("unchecked")
        T value = (T) result[0];
        return value;
    }
}
