/**
 * CloudEvents 1.0.2 over HTTP.
 *
 * <p>{@link elderseam.frontend.cloudevents.EventFrontend} accepts events and answers each request with their final
 * outcomes; {@link elderseam.frontend.cloudevents.EventAttemptSender} delivers events to endpoints. In between, an event
 * is a message: {@code EventDecoder} reads requests, {@code EventMessageMapper} builds the messages and {@code
 * EventCodec} holds the format of their bodies. {@code EventValidator}, {@code AttributeHeaderCodec} and {@code
 * WebHookHandshake} do what the specifications demand and the SDK does not; docs/cloudevents.md lists it.
 *
 * <p>All state is confined to the I/O thread. Loaded only where the frontend is on, or owes an outcome from an earlier
 * process.
 */
package elderseam.frontend.cloudevents;
