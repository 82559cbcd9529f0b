/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin;

import com.google.common.collect.ImmutableList;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The settings of a stand-in engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the engine's name, never null
 * @param bind the address to listen on; port 0 takes a free one
 * @param role the role at startup
 * @param speeds the prefill and decode speeds
 * @param memory the slots, the KV memory and the transfer link
 * @param reports the delay and loss of reports
 * @param fencing whether orders with an old fencing number are refused
 * @param models the models loaded at startup
 * @param loadMillis the time to load a model or an adapter, in milliseconds
 * @param cancelOnDisconnect true if a decode is cancelled when its connection breaks
 * @since 0.1
 */
public record EngineSettings(
    String name,
    InetSocketAddress bind,
    EngineRole role,
    EngineSpeeds speeds,
    EngineMemory memory,
    EngineReports reports,
    FencingMode fencing,
    ImmutableList<String> models,
    long loadMillis,
    boolean cancelOnDisconnect) {

  /**
   * Returns default settings: new hardware on a free port of 127.0.0.1.
   *
   * @param name the engine's name
   * @param role the role at startup
   * @param models the models loaded at startup
   * @return the settings
   */
  public static EngineSettings of(String name, EngineRole role, String... models) {
    return new EngineSettings(
        name,
        new InetSocketAddress(InetAddress.ofLiteral("127.0.0.1"), 0),
        role,
        EngineSpeeds.NEW,
        EngineMemory.DEFAULTS,
        EngineReports.DEFAULTS,
        FencingMode.CHECK,
        ImmutableList.copyOf(models),
        500,
        false);
  }

  /**
   * Returns a copy with another address.
   *
   * @param value the address to listen on
   * @return the copy
   */
  public EngineSettings withBind(InetSocketAddress value) {
    return new EngineSettings(
        name,
        value,
        role,
        speeds,
        memory,
        reports,
        fencing,
        models,
        loadMillis,
        cancelOnDisconnect);
  }

  /**
   * Returns a copy with other speeds.
   *
   * @param value the speeds
   * @return the copy
   */
  public EngineSettings withSpeeds(EngineSpeeds value) {
    return new EngineSettings(
        name, bind, role, value, memory, reports, fencing, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Returns a copy with other slots, KV memory and transfer link.
   *
   * @param value the slots, the KV memory and the transfer link
   * @return the copy
   */
  public EngineSettings withMemory(EngineMemory value) {
    return new EngineSettings(
        name, bind, role, speeds, value, reports, fencing, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Returns a copy with another delay and loss of reports.
   *
   * @param value the delay and loss
   * @return the copy
   */
  public EngineSettings withReports(EngineReports value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, value, fencing, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Returns a copy with another treatment of orders with an old fencing number.
   *
   * @param value the fencing mode
   * @return the copy
   */
  public EngineSettings withFencing(FencingMode value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, reports, value, models, loadMillis, cancelOnDisconnect);
  }

  /**
   * Returns a copy with another time to load a model or an adapter.
   *
   * @param value the time in milliseconds
   * @return the copy
   */
  public EngineSettings withLoadMillis(long value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, reports, fencing, models, value, cancelOnDisconnect);
  }

  /**
   * Returns a copy that cancels or continues decodes whose connection breaks.
   *
   * @param value true to cancel the decode, false to continue it
   * @return the copy
   */
  public EngineSettings withCancelOnDisconnect(boolean value) {
    return new EngineSettings(
        name, bind, role, speeds, memory, reports, fencing, models, loadMillis, value);
  }
}
