package elderseam.rules.cel;

import java.util.function.Supplier;

/** Runs work that recurses through the levels of a tree on a thread with a large stack: the program's threads have 256 KiB. */
final class DeepRecursion {
    private static final long STACK_BYTES = 16L << 20;

    private DeepRecursion() {}

    /** Runs the work on a thread of its own, waits for it, also when interrupted, and returns its result or throws its exception. */
    static <T> T run(Supplier<T> work) {
        Run<T> run = new Run<>(work);
        Thread thread = new Thread(null, run, "rules", STACK_BYTES);
        thread.start();
        joinUninterruptibly(thread);
        if (run.failure != null) {
            throw run.failure;
        }
        return run.result;
    }

    private static void joinUninterruptibly(Thread thread) {
        boolean isInterrupted = false;
        while (thread.isAlive()) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                isInterrupted = true;
            }
        }
        if (isInterrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** The work and how it ended; read by the caller after the thread has ended. */
    private static final class Run<T> implements Runnable {
        private final Supplier<T> work;
        private T result;
        private RuntimeException failure;

        private Run(Supplier<T> work) {
            this.work = work;
        }

        @Override
        public void run() {
            try {
                result = work.get();
            } catch (RuntimeException e) { // thrown again by the caller's thread
                failure = e;
            }
        }
    }
}
