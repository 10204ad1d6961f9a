/**
 * The platform's protocol for clients, discovery and endpoints.
 *
 * <p>{@link elderseam.frontend.platform.PlatformFrontend} accepts the clients' requests and sends notifications of
 * rejections and failures; {@link elderseam.frontend.platform.PlatformAttemptSender} sends attempts to endpoints;
 * {@link elderseam.frontend.platform.DiscoveryWatcher} keeps the {@link elderseam.frontend.platform.EndpointList} up
 * to date; {@link elderseam.frontend.platform.SuccessorProxy} forwards requests to the successor during an upgrade.
 * {@link elderseam.frontend.platform.PlatformConfiguration} is the configuration that the platform provides.
 *
 * <p>All state is confined to the I/O thread. Points in time are in nanoseconds on the clock of {@link
 * elderseam.core.Clock#now}, and durations are in nanoseconds, unless a name ends in {@code Ms}.
 */
package elderseam.frontend.platform;
