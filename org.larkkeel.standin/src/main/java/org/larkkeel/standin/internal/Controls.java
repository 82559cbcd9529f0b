/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.util.Map;
import java.util.function.Function;

/**
 * The control endpoint of a stand-in, which injects faults and shows counters: {@code POST
 * /control/{name}?parameter=value}.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Controls {
  private static final String PREFIX = "/control/";
  private static final Done DONE = new Done(true);

  private final ImmutableMap<String, Function<Call, Object>> actions;

  private record Done(boolean done) {}

  private record ControlError(String error, Iterable<String> known) {}

  private Controls(Map<String, Function<Call, Object>> actions) {
    this.actions = ImmutableMap.copyOf(actions);
  }

  /**
   * Returns a builder without actions.
   *
   * @return the builder
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Answers a call if its path belongs to the control endpoint.
   *
   * @param call the call
   * @return true if the call was answered, false if it is not for the control endpoint
   * @throws IOException if the connection breaks
   */
  public boolean handle(Call call) throws IOException {
    if (!call.path().startsWith(PREFIX)) {
      return false;
    }
    Function<Call, Object> action = actions.get(call.pathAfter(PREFIX));
    if (action == null) {
      call.reply(404, new ControlError("no such control", actions.keySet()));
      return true;
    }
    try {
      call.reply(200, action.apply(call));
    } catch (RefusedException e) {
      call.reply(e.status(), new ControlError(e.getMessage(), actions.keySet()));
    }
    return true;
  }

  /**
   * Builds the controls of a stand-in. Not safe for use by several threads.
   *
   * @since 0.1
   */
  public static final class Builder {
    private final ImmutableMap.Builder<String, Function<Call, Object>> actions =
        ImmutableMap.builder();

    private Builder() {}

    /** An action that returns no result. */
    @FunctionalInterface
    public interface Action {
      /**
       * Runs the action.
       *
       * @param call the call, which holds the parameters
       */
      void run(Call call);
    }

    /**
     * Adds an action.
     *
     * @param name the name in the path
     * @param action the action
     * @return this builder
     */
    public Builder action(String name, Action action) {
      actions.put(
          name,
          call -> {
            action.run(call);
            return DONE;
          });
      return this;
    }

    /**
     * Adds a view.
     *
     * @param name the name in the path
     * @param view returns the object that is sent as JSON
     * @return this builder
     */
    public Builder view(String name, Function<Call, Object> view) {
      actions.put(name, view);
      return this;
    }

    /**
     * Builds the controls.
     *
     * @return the controls
     */
    public Controls build() {
      return new Controls(actions.buildOrThrow());
    }
  }
}
