/**
 * The platform's protocol: its clients, its discovery service and its endpoints.
 *
 * <p>{@link elderseam.frontend.platform.PlatformFrontend} accepts the clients' requests and sends notifications of
 * rejections and failures; {@link elderseam.frontend.platform.PlatformAttemptSender} sends attempts to endpoints; {@link
 * elderseam.frontend.platform.DiscoveryWatcher} keeps the {@link elderseam.frontend.platform.EndpointList} up to date;
 * {@link elderseam.frontend.platform.SuccessorProxy} forwards requests to the next process during an upgrade. {@link
 * elderseam.frontend.platform.PlatformConfiguration} is what the platform sets in the environment.
 *
 * <p>All state is confined to the I/O thread. Times are nanoseconds of {@link elderseam.core.Clock#now} unless a name
 * ends in {@code Ms}.
 */
package elderseam.frontend.platform;
