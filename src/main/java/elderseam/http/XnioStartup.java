package elderseam.http;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Disables XNIO's MBeans and informational log messages, which this process does not need. The settings apply to the
 * whole process; {@link #configure} is called once, before other threads use XNIO.
 */
public final class XnioStartup {
    private static final String MBEAN_SERVER_BUILDER = "javax.management.builder.initial";

    /** The name of a class that does not exist: XNIO then continues without MBeans. */
    private static final String NONEXISTENT_BUILDER = "none";

    /** Strong references, since the level of a logger is lost when java.util.logging garbage-collects it. */
    private static final List<Logger> CONFIGURED_LOGGERS = new ArrayList<>();

    private static volatile boolean managementNeeded;

    private XnioStartup() {}

    /**
     * Must be called before the first {@link IoLoop} is created. Registering XNIO's MBeans would initialize the JVM's
     * management subsystem, which takes a fifth of the CPU time of a process start, and 7 MB of memory. JMX remains
     * available to an operator who enables it on the command line, since the JVM then initializes it earlier.
     */
    public static void configure() {
        if (!managementNeeded
                && System.getProperty(MBEAN_SERVER_BUILDER) == null
                && System.getProperty("com.sun.management.jmxremote") == null) {
            System.setProperty(MBEAN_SERVER_BUILDER, NONEXISTENT_BUILDER);
        }
        for (String name : List.of("org.xnio", "org.jboss.threads", "io.undertow")) {
            Logger logger = Logger.getLogger(name);
            logger.setLevel(Level.WARNING);
            CONFIGURED_LOGGERS.add(logger);
        }
    }

    /**
     * Makes MBeans available again. Must be called before starting a library that requires them; by then, XNIO has
     * started without them. A later {@link #configure} does not undo this.
     */
    public static void enableManagement() {
        managementNeeded = true;
        if (NONEXISTENT_BUILDER.equals(System.getProperty(MBEAN_SERVER_BUILDER))) {
            System.clearProperty(MBEAN_SERVER_BUILDER);
        }
    }
}
