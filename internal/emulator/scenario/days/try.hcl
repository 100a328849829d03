# Short scenario for a first try: 4 gateways, 3 switches, 120 calls per second, a few faults, half a minute.
name    = "try"
length  = "24s"
regions = ["montreal", "saguenay"]

gateways {
  count = 4
}

pools {
  count = 3
  setup_ms   = 12
  answer_ms  = 4.5
  release_ms = 3.5
  repeat_ms  = 2
  reject_ms  = 1.5
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
  rate = 120
}

numbers {
  change = "3s"
}

trouble "names_silent" {
  at   = "10s"
  for  = "5s"
  part = 0.5
}

trouble "slow" {
  at   = "3s"
  for  = "4s"
  part = 0.34
  size = 2.5
}

trouble "deploy" {
  at   = "8s"
  for  = "1s"
  part = 0.3
}

trouble "restart" {
  at   = "13s"
  for  = "1s"
  part = 0.25
}

trouble "burst" {
  at   = "16s"
  for  = "4s"
  size = 1.6
}
