package elderseam.core;

/**
 * An attempt that is recorded and about to be sent.
 *
 * @param answerBy when its answer must have come, on {@link Clock#now}
 */
record StartedAttempt(ActiveRequest request, AttemptTracker.ActiveAttempt attempt, long answerBy) {}
