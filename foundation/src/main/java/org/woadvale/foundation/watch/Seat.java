package org.woadvale.foundation.watch;

/** A member's place in a service: a role is a service too. */
public record Seat(String hall, String http, String incarnation) { }
