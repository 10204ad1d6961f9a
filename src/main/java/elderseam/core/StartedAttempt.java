package elderseam.core;

/**
 * An attempt that has been recorded in the journal and is about to be sent.
 *
 * @param answerBy when the response must have arrived, on {@link Clock#now}
 */
record StartedAttempt(ActiveRequest request, AttemptTracker.ActiveAttempt attempt, long answerBy) {}
