# ENUM clients look up which switch to call: 700 look-ups per second beside calls, changing number tables, faults.
name    = "kiosks"
length  = "60s"
regions = ["montreal", "saguenay"]

gateways {
  count = 8
}

pools {
  count      = 6
  setup_ms   = 2.8
  answer_ms  = 1.1
  release_ms = 0.9
  repeat_ms  = 0.5
  reject_ms  = 0.4
  lines      = 4000
}

skill "shift-lookup" {
  share    = 0.9
  target   = "2s"
  patience = "9s"
  value    = 1
  hold     = "5s"
}

skill "absence-report" {
  share    = 0.1
  target   = "1s"
  patience = "6s"
  value    = 8
  hold     = "4s"
}

load {
  rate = 100
}

numbers {
  change = "2s"
}

kiosks {
  rate = 700
  loss = 0.02
}

trouble "deploy" {
  at   = "8s"
  for  = "6s"
  part = 0.5
}

trouble "names_silent" {
  at   = "18s"
  for  = "6s"
  part = 0.5
}

trouble "restart" {
  at   = "26s"
  for  = "1s"
  part = 0.25
}

trouble "silent" {
  at   = "32s"
  for  = "5s"
  part = 0.25
}

trouble "stall" {
  at   = "42s"
  for  = "8s"
  part = 0.25
  size = 1
}
