package org.woadvale.foundation.watch;

import java.util.List;

import org.woadvale.foundation.beam.Since;

/** A member's place in a service: a role is a service too. */
public record Seat(String hall, String http, String incarnation, @Since(2) List<String> unseated) { }
